package shalepaddle.testkit;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/** The slow store behind the cache servers: so many fetches at once, the others wait in order. */
public final class StandInOrigin {
  private final LoopbackTransport wire;
  private final SplittableRandom random;
  private final int workers;
  private final double meanSeconds;
  private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
  private final Map<String, Integer> fetches = new HashMap<>();
  private double slowness = 1;
  private int busy;
  private int total;

  /**
   * An origin that nobody has asked yet.
   *
   * @param workers fetches and writes that it works on at once
   * @param meanSeconds the mean time of one; times are drawn evenly from half to one and a half
   */
  public StandInOrigin(LoopbackTransport wire, long seed, int workers, double meanSeconds) {
    this.wire = wire;
    this.random = new SplittableRandom(seed);
    this.workers = workers;
    this.meanSeconds = meanSeconds;
  }

  /** From now on everything takes so many times as long. */
  public void slowness(double times) {
    slowness = times;
  }

  /** Fetches of all keys. */
  public int fetches() {
    return total;
  }

  /** Fetches of this key. */
  public int fetches(String key) {
    return fetches.getOrDefault(key, 0);
  }

  /** Fetches and writes that wait for a worker. */
  public int waiting() {
    return waiting.size();
  }

  void fetch(String key, Runnable done) {
    total++;
    fetches.merge(key, 1, Integer::sum);
    work(done);
  }

  void write(Runnable done) {
    work(done);
  }

  private void work(Runnable done) {
    if (busy == workers) {
      waiting.add(done);
      return;
    }
    busy++;
    long nanos = (long) (1e9 * meanSeconds * slowness * (0.5 + random.nextDouble()));
    wire.loop()
        .schedule(
            () -> {
              busy--;
              if (!waiting.isEmpty()) {
                work(waiting.poll());
              }
              done.run();
            },
            nanos,
            TimeUnit.NANOSECONDS);
  }
}
