package shalepaddle.engine;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the latest requests that are not idempotent, may have run and have ended. A request
 * with such an id must not be forwarded: a client that resends it on another connection would run
 * it a second time.
 *
 * <p>Owned by the event loop's thread.
 */
final class RecentWrites {
  private final int capacity;
  private final Set<String> ids = new LinkedHashSet<>();

  /** Creates an instance without ids that holds at most this many. */
  RecentWrites(int capacity) {
    this.capacity = capacity;
  }

  /** Adds an id, in place of the oldest one if the capacity is reached. */
  void add(String id) {
    if (ids.add(id) && ids.size() > capacity) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
