package shalepaddle.model;

/**
 * A server's own load report; a value that it does not report is NaN.
 *
 * @param requestsInFlight requests in progress
 * @param queuedRequests requests waiting in its queue
 * @param utilization fraction of its cores in use, from 0 to 1
 * @param latencyMillis its recent service time in milliseconds
 * @param requestsPerSecond requests served per second
 * @param errorsPerSecond errors per second
 * @param deploymentValue0 a value whose meaning depends on the deployment
 * @param deploymentValue1 a value whose meaning depends on the deployment
 */
public record LoadReport(
    double requestsInFlight,
    double queuedRequests,
    double utilization,
    double latencyMillis,
    double requestsPerSecond,
    double errorsPerSecond,
    double deploymentValue0,
    double deploymentValue1) {}
