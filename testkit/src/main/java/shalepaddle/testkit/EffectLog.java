package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * What cache servers received and carried out, request by request: the truth that a load balancer's
 * answers are held against. Grows with the requests of a run; it is made for one.
 */
public final class EffectLog {
  /**
   * A command that came to a server, whole.
   *
   * @param server the server's id
   * @param group the dedup group that it belongs to
   * @param atNanos when its last byte came; where the server did not read as it should, since when:
   *     it came no sooner
   */
  public record Arrival(String server, String group, long atNanos) {}

  /** All that is known of one request. */
  public static final class Entry {
    private final List<Arrival> arrivals = new ArrayList<>(1);
    private final Map<String, Long> keptSince = new HashMap<>(2);
    private int effects;
    private String receipt;
    private int out;
    private int mostOut;

    /** What came to servers, in order. */
    public List<Arrival> arrivals() {
      return arrivals;
    }

    /** How many of them were out together at most: neither answered nor given up. */
    public int mostOut() {
      return mostOut;
    }

    /** How often it took effect: a keyed repeat that its group dropped is none. */
    public int effects() {
      return effects;
    }

    /** The receipt of its last effect, null if it had none. */
    public String receipt() {
      return receipt;
    }
  }

  private static final Entry NOTHING = new Entry();

  private final Map<String, Entry> entries = new HashMap<>();
  private long receipts;

  /** What is known of the request of this id; an entry without anything if nothing is. */
  public Entry of(String id) {
    return entries.getOrDefault(id, NOTHING);
  }

  /** Requests that came to any server. */
  public int size() {
    return entries.size();
  }

  void arrived(String id, Arrival arrival) {
    Entry entry = entries.computeIfAbsent(id, i -> new Entry());
    entry.arrivals.add(arrival);
    entry.mostOut = Math.max(entry.mostOut, ++entry.out);
  }

  /** What had arrived is answered, or its connection has ended. */
  void settled(String id) {
    entries.get(id).out--;
  }

  /**
   * A request is carried out; returns its receipt. One with an idempotency key that its group has
   * carried out within the window takes no effect again.
   */
  String carriedOut(String id, String group, boolean keyed, long windowNanos, long now) {
    Entry entry = entries.computeIfAbsent(id, i -> new Entry());
    Long since = keyed ? entry.keptSince.get(group) : null;
    if (since == null || now - since > windowNanos) {
      entry.effects++;
      entry.receipt = Long.toHexString(++receipts);
      entry.keptSince.put(group, now);
    }
    return entry.receipt;
  }
}
