package shalepaddle.admin;

import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/**
 * The metrics of one process at one moment. Immutable.
 *
 * @param requestMetrics what became of requests and attempts
 * @param events how often each event was counted
 * @param discovered cache servers in the list
 * @param ejected those of them that receive no new requests now, ejected or excluded
 * @param reloadsApplied configurations that were applied at SIGHUP
 * @param reloadsRejected those that were rejected
 */
public record Telemetry(
    RequestMetricsSnapshot requestMetrics,
    EventCounts events,
    int discovered,
    int ejected,
    long reloadsApplied,
    long reloadsRejected) {}
