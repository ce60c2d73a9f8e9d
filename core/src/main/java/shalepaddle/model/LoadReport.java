package shalepaddle.model;

/**
 * What a server says of its own load; a value it does not report is NaN.
 *
 * @param inFlight requests being handled
 * @param queued requests waiting
 * @param utilization share of its cores in use
 * @param latencyMillis its recent service time
 * @param requestRate requests served a second
 * @param errorRate errors a second
 * @param extra0 a value whose meaning the settings tell
 * @param extra1 a value whose meaning the settings tell
 */
public record LoadReport(
    double inFlight,
    double queued,
    double utilization,
    double latencyMillis,
    double requestRate,
    double errorRate,
    double extra0,
    double extra1) {}
