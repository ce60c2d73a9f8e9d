package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Whether a read may have been answered with the value that a server made for another: where a load
 * balancer lets like reads share an answer. Grows with the requests of a run; it is made for one.
 */
final class SharedResponseCheck {
  /** How far apart two requests are sent at least so that their order at the other end is known. */
  private static final long APART_NANOS = 1_000_000;

  private record Sent(String target, String key, String type, long at) {}

  private final Map<String, Sent> reads = new HashMap<>();
  private final Map<String, Sent> writes = new HashMap<>();
  private final Map<String, List<Sent>> writesOfKey = new HashMap<>();

  /** A read of this id went out to a load balancer. */
  void read(String id, String target, String key, String type, long at) {
    reads.put(id, new Sent(target, key, type, at));
  }

  /** A write of this id went out to a load balancer; the second time, since the first was lost. */
  void wrote(String id, String target, String key, long at) {
    Sent sent = new Sent(target, key, null, at);
    Sent lost = writes.put(id, sent);
    if (lost != null) {
      writesOfKey.get(lost.target() + ' ' + key).remove(lost);
    }
    writesOfKey.computeIfAbsent(target + ' ' + key, k -> new ArrayList<>()).add(sent);
  }

  /**
   * What is wrong with this value for the read of this id, null if nothing is.
   *
   * @param value as a {@link StandInServer} made it: the key, and the id of the request
   * @param paused how long the load balancer stood still between two times: what came in order may
   *     have been read in another then
   */
  String wrong(String id, String value, Paused paused) {
    Sent reader = reads.get(id);
    int bar = value.indexOf('|');
    int end = value.indexOf('.') < 0 ? value.length() : value.indexOf('.');
    if (bar < 0 || end < bar || !value.substring(0, bar).equals(reader.key())) {
      return "served with another key's value";
    }
    String maker = value.substring(bar + 1, end);
    Sent made = reads.get(maker);
    if (maker.equals(id)) {
      return null;
    }
    if (made == null
        || !made.target().equals(reader.target())
        || !made.key().equals(reader.key())
        || !made.type().equals(reader.type())) {
      return "served with the value of " + maker + ", which is no like read";
    }
    for (Sent write : writesOfKey.getOrDefault(reader.target() + ' ' + reader.key(), List.of())) {
      if (write.at() - made.at() > APART_NANOS
          && reader.at() - write.at() > APART_NANOS
          && paused.within(made.at(), reader.at()) == 0) {
        return "served with the value of " + maker + ", asked for before a write that came first";
      }
    }
    return null;
  }

  /** How long a load balancer stood still between two times. */
  interface Paused {
    long within(long begin, long end);
  }
}
