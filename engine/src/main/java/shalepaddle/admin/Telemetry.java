package shalepaddle.admin;

import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/**
 * What operators see of one process, at one moment.
 *
 * @param requestMetrics what became of requests and attempts
 * @param events how often what is counted by reason has happened
 * @param discovered cache servers in the list
 * @param ejected those of them that get nothing new now, by hand or by choice
 * @param reloadsApplied configurations that were taken at SIGHUP
 * @param reloadsRejected those that were turned down
 */
public record Telemetry(
    RequestMetricsSnapshot requestMetrics,
    EventCounts events,
    int discovered,
    int ejected,
    long reloadsApplied,
    long reloadsRejected) {}
