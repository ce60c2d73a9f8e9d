package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Checks whether a read may be served with a value that a server returned for another read, as load
 * balancers do that coalesce equal reads. Its memory grows with the number of requests, so an
 * instance is meant for a single run.
 */
final class SharedResponseCheck {
  /**
   * Two requests sent at least this far apart arrive at the load balancer in the order of sending.
   */
  private static final long MIN_ORDERED_GAP_NANOS = 1_000_000;

  private record SentRequest(String target, String key, String requestClass, long atNanos) {}

  private final Map<String, SentRequest> reads = new HashMap<>();
  private final Map<String, SentRequest> writes = new HashMap<>();
  private final Map<String, List<SentRequest>> writesByTargetAndKey = new HashMap<>();

  /** Records that a read was sent to a load balancer. */
  void recordRead(String id, String target, String key, String requestClass, long atNanos) {
    reads.put(id, new SentRequest(target, key, requestClass, atNanos));
  }

  /**
   * Records that a write was sent to a load balancer. If the same write is recorded again, its
   * first transmission was lost and only the second transmission counts.
   */
  void recordWrite(String id, String target, String key, long atNanos) {
    SentRequest sentWrite = new SentRequest(target, key, null, atNanos);
    SentRequest previousWrite = writes.put(id, sentWrite);
    if (previousWrite != null) {
      writesByTargetAndKey.get(previousWrite.target() + ' ' + key).remove(previousWrite);
    }
    writesByTargetAndKey.computeIfAbsent(target + ' ' + key, k -> new ArrayList<>()).add(sentWrite);
  }

  /**
   * Returns a description of the violation if the read with this id must not be served with this
   * value; null if it may.
   *
   * @param value as a {@link StandInServer} produces it: the key and the id of the request
   * @param pausedNanosLookup returns how long the load balancer was paused between two times; after
   *     a pause it may have read requests in another order than they were sent
   */
  String findViolation(String id, String value, PauseLookup pausedNanosLookup) {
    SentRequest checkedRead = reads.get(id);
    int separatorIndex = value.indexOf('|');
    int idEnd = value.indexOf('.') < 0 ? value.length() : value.indexOf('.');
    if (separatorIndex < 0
        || idEnd < separatorIndex
        || !value.substring(0, separatorIndex).equals(checkedRead.key())) {
      return "served with another key's value";
    }
    String sourceId = value.substring(separatorIndex + 1, idEnd);
    SentRequest sourceRead = reads.get(sourceId);
    if (sourceId.equals(id)) {
      return null;
    }
    if (sourceRead == null
        || !sourceRead.target().equals(checkedRead.target())
        || !sourceRead.key().equals(checkedRead.key())
        || !sourceRead.requestClass().equals(checkedRead.requestClass())) {
      return "served with the value of " + sourceId + ", which is not an equal read";
    }
    for (SentRequest write :
        writesByTargetAndKey.getOrDefault(
            checkedRead.target() + ' ' + checkedRead.key(), List.of())) {
      if (write.atNanos() - sourceRead.atNanos() > MIN_ORDERED_GAP_NANOS
          && checkedRead.atNanos() - write.atNanos() > MIN_ORDERED_GAP_NANOS
          && pausedNanosLookup.pausedNanos(sourceRead.atNanos(), checkedRead.atNanos()) == 0) {
        return "served with the value of "
            + sourceId
            + ", requested before a write that preceded this read";
      }
    }
    return null;
  }

  /** Looks up how long a load balancer was paused between two times, in nanoseconds. */
  interface PauseLookup {
    long pausedNanos(long beginNanos, long endNanos);
  }
}
