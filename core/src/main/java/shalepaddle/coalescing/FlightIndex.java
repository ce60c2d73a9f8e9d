package shalepaddle.coalescing;

import java.util.HashMap;
import java.util.Map;

/**
 * The flights that reads may join, by key. The flights of one key differ in their {@link
 * CoalescingKey} and form a linked list, newest first. Not thread-safe: owned by the {@link
 * RequestCoalescer}.
 *
 * @param <C> the caller's representation outside this package
 */
final class FlightIndex<C> {
  private final Map<String, Flight<C>> flightsByKey = new HashMap<>();

  /** Finds the flight that a read may join; null if there is none. */
  Flight<C> find(String key, String serviceClass, String tenant) {
    Flight<C> flight = flightsByKey.get(key);
    while (flight != null && !flight.coalescingKey().matches(serviceClass, tenant)) {
      flight = flight.nextOfKey();
    }
    return flight;
  }

  void add(Flight<C> flight) {
    flight.setIndexedBefore(flightsByKey.put(flight.key(), flight));
  }

  /** Removes a flight; has no effect if it is not indexed. */
  void remove(Flight<C> flight) {
    if (!flight.isIndexed()) {
      return;
    }
    Flight<C> head = flightsByKey.get(flight.key());
    if (head != flight) {
      Flight<C> previous = head;
      while (previous.nextOfKey() != flight) {
        previous = previous.nextOfKey();
      }
      previous.setIndexedBefore(flight.nextOfKey());
    } else if (flight.nextOfKey() == null) {
      flightsByKey.remove(flight.key());
    } else {
      flightsByKey.put(flight.key(), flight.nextOfKey());
    }
    flight.setUnindexed();
  }

  /** Removes all flights of a key. */
  void removeAll(String key) {
    Flight<C> flight = flightsByKey.remove(key);
    while (flight != null) {
      Flight<C> next = flight.nextOfKey();
      flight.setUnindexed();
      flight = next;
    }
  }

  /** The number of keys with a flight that reads may join. */
  int keyCount() {
    return flightsByKey.size();
  }
}
