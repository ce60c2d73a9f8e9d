package shalepaddle.admin;

import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/**
 * The metrics of one process at one moment. Immutable.
 *
 * @param requestMetrics the counts of requests and attempts by outcome
 * @param events the counts of events
 * @param discoveredServerCount the number of cache servers in the endpoint list
 * @param ejectedServerCount the number of cache servers in the endpoint list that currently receive
 *     no new requests, since they are ejected or excluded
 * @param bufferedBytes the bytes that wait in the node, as reserved in its memory budget
 * @param reloadsApplied the number of configurations applied at SIGHUP
 * @param reloadsRejected the number of configurations rejected at SIGHUP
 */
public record Telemetry(
    RequestMetricsSnapshot requestMetrics,
    EventCounts events,
    int discoveredServerCount,
    int ejectedServerCount,
    long bufferedBytes,
    long reloadsApplied,
    long reloadsRejected) {}
