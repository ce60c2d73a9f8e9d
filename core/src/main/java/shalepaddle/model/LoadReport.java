package shalepaddle.model;

/**
 * A server's own load report; a value that it does not report is NaN.
 *
 * @param inFlight requests in progress
 * @param queued requests waiting in its queue
 * @param utilization fraction of its cores in use, from 0 to 1
 * @param latencyMillis its recent service time in milliseconds
 * @param requestRate requests served per second
 * @param errorRate errors per second
 * @param extra0 a value whose meaning depends on the deployment
 * @param extra1 a value whose meaning depends on the deployment
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
