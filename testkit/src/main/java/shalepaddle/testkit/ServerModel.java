package shalepaddle.testkit;

/**
 * How a {@link StandInServer} behaves as long as no fault is injected.
 *
 * @param workers requests that it processes in parallel
 * @param meanServiceSeconds mean processing time of a request in seconds; each time is drawn
 *     uniformly from 0.5 to 1.5 times the mean
 * @param maxQueued requests that may wait for a worker; further ones are rejected
 * @param maxKeys keys that its cache holds; the least recently used one is evicted
 * @param maxConnections connections that it accepts; further ones are closed at once
 * @param minValueBytes minimum length of the values that it serves
 * @param coldCapacityShare share of its capacity that is available right after a cold start
 * @param warmUpSeconds time in seconds after a cold start until its full capacity is available; the
 *     share grows linearly
 * @param collapseCapacityMultiple it collapses if it receives more than this multiple of its
 *     current capacity while it warms up; 0 to never collapse
 * @param collapseWindowSeconds period in seconds over which the received load is measured
 * @param dedupWindowSeconds how long its idempotency group drops repeats of a write with an
 *     idempotency key, in seconds
 */
public record ServerModel(
    int workers,
    double meanServiceSeconds,
    int maxQueued,
    int maxKeys,
    int maxConnections,
    int minValueBytes,
    double coldCapacityShare,
    double warmUpSeconds,
    double collapseCapacityMultiple,
    double collapseWindowSeconds,
    double dedupWindowSeconds) {

  /** Four workers with a mean processing time of 3 ms, at full capacity from the start. */
  public static ServerModel defaults() {
    return new ServerModel(4, 0.003, 64, 10_000, 64, 16, 1, 0, 0, 0, 5);
  }

  /**
   * A copy with a reduced capacity after a cold start and with a collapse under overload.
   *
   * @param coldCapacityShare share of its capacity right after a cold start
   * @param warmUpSeconds time in seconds until its full capacity is available
   * @param collapseCapacityMultiple received load, as a multiple of its current capacity, above
   *     which it collapses
   * @param collapseWindowSeconds period in seconds over which the received load is measured
   */
  public ServerModel withColdStart(
      double coldCapacityShare,
      double warmUpSeconds,
      double collapseCapacityMultiple,
      double collapseWindowSeconds) {
    return new ServerModel(
        workers,
        meanServiceSeconds,
        maxQueued,
        maxKeys,
        maxConnections,
        minValueBytes,
        coldCapacityShare,
        warmUpSeconds,
        collapseCapacityMultiple,
        collapseWindowSeconds,
        dedupWindowSeconds);
  }

  /** A copy whose idempotency group drops repeats for this time, in seconds. */
  public ServerModel withDedupWindow(double dedupWindowSeconds) {
    return new ServerModel(
        workers,
        meanServiceSeconds,
        maxQueued,
        maxKeys,
        maxConnections,
        minValueBytes,
        coldCapacityShare,
        warmUpSeconds,
        collapseCapacityMultiple,
        collapseWindowSeconds,
        dedupWindowSeconds);
  }

  /** A copy with this number of workers and this mean processing time. */
  public ServerModel withWorkers(int workers, double meanServiceSeconds) {
    return new ServerModel(
        workers,
        meanServiceSeconds,
        maxQueued,
        maxKeys,
        maxConnections,
        minValueBytes,
        coldCapacityShare,
        warmUpSeconds,
        collapseCapacityMultiple,
        collapseWindowSeconds,
        dedupWindowSeconds);
  }
}
