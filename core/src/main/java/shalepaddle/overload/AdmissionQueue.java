package shalepaddle.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests that have been read and wait for their turn in the event loop: those that are worth most
 * first, and among equals by an adaptive order.
 *
 * <p>In order of arrival while the queue is short-lived; newest first once it stands, since what
 * has waited longest is nearest to useless (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue
 * 2015). Bounded in number and in time: what has waited too long is handed back to be refused, and
 * at the bound the oldest of the least worth. So no queue stands here for longer than the bound,
 * and whoever is not served hears so at once.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 *
 * @param <T> what waits
 */
public final class AdmissionQueue<T> {
  /** A queue that has not been empty for so long stands. */
  private static final long STANDS_NANOS = 100_000_000L;

  private record Waiting<T>(T item, long since) {}

  private final List<ArrayDeque<Waiting<T>>> lanes = new ArrayList<>();
  private final int most;
  private final long longestNanos;
  private final Consumer<T> refused;
  private int size;
  private long begunAt;

  /**
   * An empty queue.
   *
   * @param tiers how many tiers there are
   * @param most items that wait at most, above 0
   * @param longestNanos how long one waits at most
   * @param refused is given what is not served
   */
  public AdmissionQueue(int tiers, int most, long longestNanos, Consumer<T> refused) {
    if (tiers < 1 || most < 1 || longestNanos <= 0) {
      throw new IllegalArgumentException(
          "%d tiers, %d items, %d ns".formatted(tiers, most, longestNanos));
    }
    this.most = most;
    this.longestNanos = longestNanos;
    this.refused = refused;
    for (int i = 0; i < tiers; i++) {
      lanes.add(new ArrayDeque<>());
    }
  }

  /** Lets an item wait; hands another back if that is one too many. */
  public void offer(T item, int tier, long now) {
    if (size == 0) {
      begunAt = now;
    }
    lanes.get(tier).addLast(new Waiting<>(item, now));
    size++;
    if (size > most) {
      for (int lane = lanes.size() - 1; lane >= 0; lane--) {
        if (!lanes.get(lane).isEmpty()) {
          handBack(lanes.get(lane));
          return;
        }
      }
    }
  }

  /** The next item to be served, after those that have waited too long are handed back. */
  public T poll(long now) {
    for (ArrayDeque<Waiting<T>> lane : lanes) {
      while (!lane.isEmpty() && now - lane.peekFirst().since() > longestNanos) {
        handBack(lane);
      }
    }
    boolean stands = now - begunAt > STANDS_NANOS;
    for (ArrayDeque<Waiting<T>> lane : lanes) {
      if (!lane.isEmpty()) {
        size--;
        return (stands ? lane.pollLast() : lane.pollFirst()).item();
      }
    }
    return null;
  }

  private void handBack(ArrayDeque<Waiting<T>> lane) {
    size--;
    refused.accept(lane.pollFirst().item());
  }

  /** Hands back all that waits. */
  public void rejectAll() {
    lanes.forEach(
        lane -> {
          while (!lane.isEmpty()) {
            handBack(lane);
          }
        });
  }

  /** How many wait. */
  public int size() {
    return size;
  }

  /** Nanoseconds for which the oldest has waited, 0 if none waits. */
  public long oldestWaitNanos(long now) {
    long oldest = 0;
    for (ArrayDeque<Waiting<T>> lane : lanes) {
      if (!lane.isEmpty()) {
        oldest = Math.max(oldest, now - lane.peekFirst().since());
      }
    }
    return oldest;
  }
}
