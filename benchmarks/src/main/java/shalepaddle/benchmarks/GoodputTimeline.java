package shalepaddle.benchmarks;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.stream.IntStream;

/** Goodput and refusals of an {@link OpenLoopLoad} over time, in steps of 0.1 s since its start. */
final class GoodputTimeline {
  private static final long STEP_NANOS = 100_000_000L;

  private final AtomicLongArray servedWeights;
  private final AtomicLongArray refusalCounts;
  private volatile long startNanos;

  GoodputTimeline(int seconds) {
    int steps = (int) (seconds * TimeUnit.SECONDS.toNanos(1) / STEP_NANOS);
    servedWeights = new AtomicLongArray(steps);
    refusalCounts = new AtomicLongArray(steps);
  }

  /** Sets the time at which the clients start, by {@link System#nanoTime}. */
  void setStartNanos(long nanoTime) {
    startNanos = nanoTime;
  }

  long startNanos() {
    return startNanos;
  }

  /** Adds the priority weight of a request that was served within its objective at this time. */
  void addServed(long nanoTime, int priorityWeight) {
    add(servedWeights, nanoTime, priorityWeight);
  }

  /** Adds one refusal at this time. */
  void addRefusal(long nanoTime) {
    add(refusalCounts, nanoTime, 1);
  }

  private void add(AtomicLongArray sums, long nanoTime, int amount) {
    int step = (int) ((nanoTime - startNanos) / STEP_NANOS);
    if (step >= 0 && step < sums.length()) {
      sums.addAndGet(step, amount);
    }
  }

  /**
   * Returns the priority weight of the requests that were served within their objectives, per
   * second, for each step.
   */
  double[] goodput() {
    return perSecond(servedWeights);
  }

  /** Returns the refusals per second, for each step. */
  double[] refusals() {
    return perSecond(refusalCounts);
  }

  private static double[] perSecond(AtomicLongArray sums) {
    return IntStream.range(0, sums.length())
        .mapToDouble(i -> sums.get(i) * 1e9 / STEP_NANOS)
        .toArray();
  }
}
