package shalepaddle.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Requests that have been read and wait for the event loop, by priority tier and, within a tier, in
 * an adaptive order.
 *
 * <p>First in, first out while the queue is short-lived; last in, first out once it is a standing
 * queue, since the request that has waited longest is nearest to its deadline (adaptive LIFO;
 * Maurer, "Fail at Scale", ACM Queue 2015). Bounded in number and in time: what has waited too long
 * is rejected, and at the bound the oldest of the lowest priority is.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 *
 * @param <T> the items
 */
public final class AdmissionQueue<T> {
  /** A queue that has not been empty for longer than this is a standing queue. */
  private static final long STANDING_QUEUE_NANOS = 100_000_000L;

  private record Waiting<T>(T item, long sinceNanos) {}

  private final List<ArrayDeque<Waiting<T>>> queuesByTier = new ArrayList<>();
  private final int maxItems;
  private final long maxWaitNanos;
  private final Consumer<T> onRejected;
  private int size;
  private long nonEmptySinceNanos;

  /**
   * An empty queue.
   *
   * @param tiers how many tiers there are
   * @param maxItems the most items that wait, above 0
   * @param maxWaitNanos the longest that one waits
   * @param onRejected receives each item that is not served
   */
  public AdmissionQueue(int tiers, int maxItems, long maxWaitNanos, Consumer<T> onRejected) {
    if (tiers < 1 || maxItems < 1 || maxWaitNanos <= 0) {
      throw new IllegalArgumentException(
          "%d tiers, %d items, %d ns".formatted(tiers, maxItems, maxWaitNanos));
    }
    this.maxItems = maxItems;
    this.maxWaitNanos = maxWaitNanos;
    this.onRejected = onRejected;
    for (int i = 0; i < tiers; i++) {
      queuesByTier.add(new ArrayDeque<>());
    }
  }

  /** Adds an item; rejects the oldest of the lowest priority if that is one too many. */
  public void offer(T item, int tier, long now) {
    if (size == 0) {
      nonEmptySinceNanos = now;
    }
    queuesByTier.get(tier).addLast(new Waiting<>(item, now));
    size++;
    if (size > maxItems) {
      for (int lowest = queuesByTier.size() - 1; lowest >= 0; lowest--) {
        if (!queuesByTier.get(lowest).isEmpty()) {
          rejectOldest(queuesByTier.get(lowest));
          return;
        }
      }
    }
  }

  /**
   * Removes the next item to serve, after rejecting those that have waited too long; null if empty.
   */
  public T poll(long now) {
    for (ArrayDeque<Waiting<T>> queue : queuesByTier) {
      while (!queue.isEmpty() && now - queue.peekFirst().sinceNanos() > maxWaitNanos) {
        rejectOldest(queue);
      }
    }
    boolean isStanding = now - nonEmptySinceNanos > STANDING_QUEUE_NANOS;
    for (ArrayDeque<Waiting<T>> queue : queuesByTier) {
      if (!queue.isEmpty()) {
        size--;
        return (isStanding ? queue.pollLast() : queue.pollFirst()).item();
      }
    }
    return null;
  }

  private void rejectOldest(ArrayDeque<Waiting<T>> queue) {
    size--;
    onRejected.accept(queue.pollFirst().item());
  }

  /** Rejects all items. */
  public void rejectAll() {
    queuesByTier.forEach(
        queue -> {
          while (!queue.isEmpty()) {
            rejectOldest(queue);
          }
        });
  }

  /** How many items wait. */
  public int size() {
    return size;
  }

  /** Nanoseconds for which the oldest has waited, 0 if none waits. */
  public long oldestWaitNanos(long now) {
    long oldest = 0;
    for (ArrayDeque<Waiting<T>> queue : queuesByTier) {
      if (!queue.isEmpty()) {
        oldest = Math.max(oldest, now - queue.peekFirst().sinceNanos());
      }
    }
    return oldest;
  }
}
