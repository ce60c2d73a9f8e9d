package shalepaddle.testkit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * The slow store behind the cache servers. It processes a limited number of fetches and writes in
 * parallel; further ones wait in order of arrival.
 */
public final class StandInOrigin {
  private final LoopbackTransport transport;
  private final SplittableRandom random;
  private final int workers;
  private final double meanServiceSeconds;
  private final ArrayDeque<Runnable> queuedCallbacks = new ArrayDeque<>();
  private final Map<String, Integer> fetchesByKey = new HashMap<>();
  private double slowdownFactor = 1;
  private int busyWorkers;
  private int fetchCount;

  /**
   * Creates an idle origin.
   *
   * @param workers fetches and writes that it processes in parallel
   * @param meanServiceSeconds mean processing time in seconds; each time is drawn uniformly from
   *     0.5 to 1.5 times the mean
   */
  public StandInOrigin(
      LoopbackTransport transport, long seed, int workers, double meanServiceSeconds) {
    this.transport = transport;
    this.random = new SplittableRandom(seed);
    this.workers = workers;
    this.meanServiceSeconds = meanServiceSeconds;
  }

  /** Multiplies all processing times from now on by this factor; 1 is normal. */
  public void setSlowdown(double factor) {
    slowdownFactor = factor;
  }

  /** Number of fetches, all keys together. */
  public int fetches() {
    return fetchCount;
  }

  /** Number of fetches of this key. */
  public int fetches(String key) {
    return fetchesByKey.getOrDefault(key, 0);
  }

  /** Number of fetches and writes that wait for a worker. */
  public int queued() {
    return queuedCallbacks.size();
  }

  void fetch(String key, Runnable onDone) {
    fetchCount++;
    fetchesByKey.merge(key, 1, Integer::sum);
    process(onDone);
  }

  void write(Runnable onDone) {
    process(onDone);
  }

  private void process(Runnable onDone) {
    if (busyWorkers == workers) {
      queuedCallbacks.add(onDone);
      return;
    }
    busyWorkers++;
    long serviceNanos =
        (long) (1e9 * meanServiceSeconds * slowdownFactor * (0.5 + random.nextDouble()));
    transport
        .loop()
        .schedule(
            () -> {
              busyWorkers--;
              if (!queuedCallbacks.isEmpty()) {
                process(queuedCallbacks.poll());
              }
              onDone.run();
            },
            serviceNanos,
            TimeUnit.NANOSECONDS);
  }
}
