package shalepaddle.overload;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Queue of requests that have been read and wait for the event loop, ordered by priority tier and,
 * within a tier, in an adaptive order.
 *
 * <p>The order is first in, first out while the queue is short-lived, and last in, first out once
 * it is a standing queue, since the request that has waited longest is the nearest to its deadline
 * (adaptive LIFO; Maurer, "Fail at Scale", ACM Queue 2015). Bounded in size and waiting time:
 * requests that have waited too long are rejected, and when the queue is full the oldest request of
 * the lowest priority is rejected.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 *
 * @param <T> the items
 */
public final class AdmissionQueue<T> {
  /** A queue that has not been empty for longer than this is a standing queue. */
  private static final long STANDING_QUEUE_NANOS = 100_000_000L;

  private record QueuedItem<T>(T item, long enqueuedAtNanos) {}

  private final List<ArrayDeque<QueuedItem<T>>> queuesByTier = new ArrayList<>();
  private final int maxItems;
  private final long maxWaitNanos;
  private final Consumer<T> onRejected;
  private int size;
  private long nonEmptySinceNanos;

  /**
   * Creates an empty queue.
   *
   * @param tierCount the number of tiers
   * @param maxItems the maximum number of items, above 0
   * @param maxWaitNanos the longest time that an item waits
   * @param onRejected receives each item that is not served
   */
  public AdmissionQueue(int tierCount, int maxItems, long maxWaitNanos, Consumer<T> onRejected) {
    if (tierCount < 1 || maxItems < 1 || maxWaitNanos <= 0) {
      throw new IllegalArgumentException(
          "queue of %d tiers, at most %d items and %d ns: each must be above 0"
              .formatted(tierCount, maxItems, maxWaitNanos));
    }
    this.maxItems = maxItems;
    this.maxWaitNanos = maxWaitNanos;
    this.onRejected = onRejected;
    for (int i = 0; i < tierCount; i++) {
      queuesByTier.add(new ArrayDeque<>());
    }
  }

  /** Adds an item; if the queue is then too long, rejects the oldest one of the lowest priority. */
  public void offer(T item, int tier, long now) {
    if (size == 0) {
      nonEmptySinceNanos = now;
    }
    queuesByTier.get(tier).addLast(new QueuedItem<>(item, now));
    size++;
    if (size > maxItems) {
      for (int lowestTier = queuesByTier.size() - 1; lowestTier >= 0; lowestTier--) {
        if (!queuesByTier.get(lowestTier).isEmpty()) {
          rejectOldest(queuesByTier.get(lowestTier));
          return;
        }
      }
    }
  }

  /**
   * Removes the next item to serve, after rejecting those that have waited too long; returns null
   * if the queue is empty.
   */
  public T poll(long now) {
    for (ArrayDeque<QueuedItem<T>> queue : queuesByTier) {
      while (!queue.isEmpty() && now - queue.peekFirst().enqueuedAtNanos() > maxWaitNanos) {
        rejectOldest(queue);
      }
    }
    boolean isStanding = now - nonEmptySinceNanos > STANDING_QUEUE_NANOS;
    for (ArrayDeque<QueuedItem<T>> queue : queuesByTier) {
      if (!queue.isEmpty()) {
        size--;
        return (isStanding ? queue.pollLast() : queue.pollFirst()).item();
      }
    }
    return null;
  }

  private void rejectOldest(ArrayDeque<QueuedItem<T>> queue) {
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

  /** The number of items that wait. */
  public int size() {
    return size;
  }

  /** The time in nanoseconds for which the oldest item has waited, 0 if none waits. */
  public long oldestWaitNanos(long now) {
    long waitNanos = 0;
    for (ArrayDeque<QueuedItem<T>> queue : queuesByTier) {
      if (!queue.isEmpty()) {
        waitNanos = Math.max(waitNanos, now - queue.peekFirst().enqueuedAtNanos());
      }
    }
    return waitNanos;
  }
}
