package shalepaddle.coalescing;

import java.util.HashMap;
import java.util.Map;

/**
 * The flights that reads may join, by key: the newest of each key, and behind it those that differ
 * in their {@link CoalescingKey}. Not thread-safe: owned by the {@link RequestCoalescer}.
 *
 * @param <C> the caller's representation outside this package
 */
final class FlightIndex<C> {
  private final Map<String, Flight<C>> byKey = new HashMap<>();

  /** The flight that a read may join, null for none. */
  Flight<C> find(String key, String serviceClass, String tenant) {
    Flight<C> flight = byKey.get(key);
    while (flight != null && !flight.coalescingKey().matches(serviceClass, tenant)) {
      flight = flight.nextOfKey();
    }
    return flight;
  }

  void add(Flight<C> flight) {
    flight.setIndexedBefore(byKey.put(flight.key(), flight));
  }

  /** Removes a flight; no effect where it is not indexed. */
  void remove(Flight<C> flight) {
    if (!flight.isIndexed()) {
      return;
    }
    Flight<C> head = byKey.get(flight.key());
    if (head != flight) {
      Flight<C> before = head;
      while (before.nextOfKey() != flight) {
        before = before.nextOfKey();
      }
      before.setIndexedBefore(flight.nextOfKey());
    } else if (flight.nextOfKey() == null) {
      byKey.remove(flight.key());
    } else {
      byKey.put(flight.key(), flight.nextOfKey());
    }
    flight.setUnindexed();
  }

  /** Removes all flights of a key. */
  void removeAll(String key) {
    Flight<C> flight = byKey.remove(key);
    while (flight != null) {
      Flight<C> next = flight.nextOfKey();
      flight.setUnindexed();
      flight = next;
    }
  }

  /** Keys with a flight that reads may join. */
  int keys() {
    return byKey.size();
  }
}
