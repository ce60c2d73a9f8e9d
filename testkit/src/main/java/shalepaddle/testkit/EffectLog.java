package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Records, per request, which servers received it and how often it took effect. Checks compare the
 * responses of load balancers with this log. The log grows with the number of requests and is meant
 * for a single run.
 */
public final class EffectLog {
  /**
   * A request that a server received completely.
   *
   * @param serverId the server's id
   * @param group the server's idempotency group
   * @param atNanos when the server read the last byte of the request. If the server was reading
   *     slowly or not at all before, the time at which this began, because the bytes may have
   *     arrived at any time since
   */
  public record Arrival(String serverId, String group, long atNanos) {}

  /** The record of one request. */
  public static final class Entry {
    private final List<Arrival> arrivals = new ArrayList<>(1);
    private final Map<String, Long> lastEffectNanosByGroup = new HashMap<>(2);
    private int effectCount;
    private String receipt;
    private int inFlight;
    private int maxInFlight;

    /** Arrivals of the request at servers, in order. */
    public List<Arrival> arrivals() {
      return arrivals;
    }

    /**
     * Maximum number of attempts of the request that were in flight at the same time, that is,
     * received by a server and neither answered nor disconnected yet.
     */
    public int maxInFlight() {
      return maxInFlight;
    }

    /**
     * How often the request took effect. A repeat that the idempotency group dropped doesn't count.
     */
    public int effectCount() {
      return effectCount;
    }

    /**
     * The receipt of the write's last effect, a number that its response carries; null if the
     * request never took effect.
     */
    public String receipt() {
      return receipt;
    }
  }

  private static final Entry EMPTY = new Entry();

  private final Map<String, Entry> entries = new HashMap<>();
  private long lastReceiptNumber;

  /** The record of the request with this id; an empty record if no server received the request. */
  public Entry entryOf(String id) {
    return entries.getOrDefault(id, EMPTY);
  }

  /** Number of requests that any server received. */
  public int size() {
    return entries.size();
  }

  void recordArrival(String id, Arrival arrival) {
    Entry entry = entries.computeIfAbsent(id, i -> new Entry());
    entry.arrivals.add(arrival);
    entry.maxInFlight = Math.max(entry.maxInFlight, ++entry.inFlight);
  }

  /** Records that an arrived request was answered or that its connection closed. */
  void recordEnd(String id) {
    entries.get(id).inFlight--;
  }

  /**
   * Records that a server executes a request, and returns the receipt of its last effect. A request
   * with an idempotency key takes no effect again if its group executed it within the window.
   */
  String recordExecution(
      String id, String group, boolean hasIdempotencyKey, long windowNanos, long nowNanos) {
    Entry entry = entries.computeIfAbsent(id, i -> new Entry());
    Long lastEffectNanos = hasIdempotencyKey ? entry.lastEffectNanosByGroup.get(group) : null;
    if (lastEffectNanos == null || nowNanos - lastEffectNanos > windowNanos) {
      entry.effectCount++;
      entry.receipt = Long.toHexString(++lastReceiptNumber);
      entry.lastEffectNanosByGroup.put(group, nowNanos);
    }
    return entry.receipt;
  }
}
