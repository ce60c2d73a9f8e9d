package shalepaddle.changefeed;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides what a member sends to the subscribers of the change feed.
 *
 * <p>For each subscriber the publisher tracks the last log index that was sent and the number of
 * bytes that are not acknowledged. Entries are retained only once for all subscribers. Nothing more
 * is sent to a subscriber while {@link Limits#windowBytes} are not acknowledged, so a slow or
 * stopped subscriber does not delay the others. It gets a snapshot if the entries that it lacks are
 * no longer retained.
 *
 * <p>Not thread-safe: owned by the thread that applies the log. Times are monotonic nanoseconds.
 */
public final class ChangeFeedPublisher {
  /** Maximum number of bytes of entries in one message, unless a single entry is larger. */
  private static final int MAX_BATCH_BYTES = 16 << 10;

  /** Maximum number of subscribers in {@link #lastRejections}, which are never removed. */
  private static final int MAX_REJECTIONS = 1024;

  private static final String NO_LEADER = "this member knows nobody who leads its group";

  /**
   * The limits and timeouts of a publisher.
   *
   * @param maxSubscribers maximum number of subscribers served at once
   * @param maxRetainedBytes maximum number of bytes of entries retained for subscribers that
   *     reconnect
   * @param windowBytes number of unacknowledged bytes from which on nothing more is sent to a
   *     subscriber; the last message may exceed it
   * @param heartbeatNanos time after the last message after which a subscriber gets a heartbeat
   * @param ackTimeoutNanos time after which a subscriber that does not acknowledge is disconnected
   * @param leaderLossTimeoutNanos time without a known leader after which subscribers are rejected;
   *     longer than an election takes
   */
  public record Limits(
      int maxSubscribers,
      long maxRetainedBytes,
      int windowBytes,
      long heartbeatNanos,
      long ackTimeoutNanos,
      long leaderLossTimeoutNanos) {
    /** The default limits, for twice the number of nodes that docs/CAPACITY.md plans for. */
    public static final Limits DEFAULT =
        new Limits(
            /* maxSubscribers= */ 1024,
            /* maxRetainedBytes= */ 8L << 20,
            /* windowBytes= */ 256 << 10,
            /* heartbeatNanos= */ 250_000_000L,
            /* ackTimeoutNanos= */ 5_000_000_000L,
            /* leaderLossTimeoutNanos= */ 2_500_000_000L);
  }

  /** Performs the actions that a publisher decides on. */
  public interface Output {
    /** Sends a message to a subscriber, in the order of the calls. */
    void send(long connection, PublisherMessage message);

    /** Closes a subscriber's connection after all messages on it were sent. */
    void close(long connection);

    /** Returns the member's state with the last log index that is applied in it. */
    PublisherMessage.Snapshot snapshot();
  }

  private final String group;
  private final Limits limits;
  private final Output output;
  private final RetainedEntries retainedEntries;

  /** The subscribers that have sent a hello, by connection, in the order of their hellos. */
  private final Map<Long, SubscriberSession> sessions = new LinkedHashMap<>();

  private final Map<String, SubscriberMessage.EntryRejected> lastRejections = new HashMap<>();

  private boolean isLeaderKnown;

  /** The time at which the leader was lost; only valid while no leader is known. */
  private long leaderLostNanos;

  /**
   * Creates a publisher of an empty log. It rejects subscribers until a leader is known, since a
   * member that has just started does not know which entries it lacks.
   */
  public ChangeFeedPublisher(String group, long now, Limits limits, Output output) {
    this.group = group;
    this.leaderLostNanos = now - limits.leaderLossTimeoutNanos();
    this.limits = limits;
    this.output = output;
    this.retainedEntries = new RetainedEntries(limits.maxRetainedBytes());
  }

  /**
   * Sets whether this member knows the leader of its group. A member that is cut off from the group
   * would report to its subscribers that there are no new entries. After {@link
   * Limits#leaderLossTimeoutNanos} it therefore rejects them, and they switch to another member.
   */
  public void setLeaderKnown(long now, boolean isKnown) {
    if (isLeaderKnown && !isKnown) {
      leaderLostNanos = now;
    }
    isLeaderKnown = isKnown;
  }

  private boolean isLeaderLost(long now) {
    return !isLeaderKnown && now - leaderLostNanos >= limits.leaderLossTimeoutNanos();
  }

  /**
   * Publishes a committed entry that was applied at this member.
   *
   * @throws IllegalStateException if its index is not after the last one
   */
  public void entryApplied(long now, ChangeEntry entry) {
    retainedEntries.add(entry);
    sendToAll(now);
  }

  /** Handles the installation of a snapshot, which replaced this member's state. */
  public void snapshotInstalled(long now, long snapshotIndex) {
    if (snapshotIndex <= retainedEntries.lastIndex()) {
      return;
    }
    retainedEntries.reset(snapshotIndex);
    sendToAll(now);
  }

  private void sendToAll(long now) {
    // Iterates over a copy, since sending may remove a subscriber.
    List.copyOf(sessions.keySet()).forEach(connection -> sendMissing(now, connection));
  }

  /** Handles a message from a subscriber. */
  public void received(long now, long connection, SubscriberMessage message) {
    SubscriberSession session = sessions.get(connection);
    if (message instanceof SubscriberMessage.Hello hello) {
      if (session != null) {
        reject(connection, "a second hello");
      } else {
        helloReceived(now, connection, hello);
      }
    } else if (session == null) {
      reject(connection, "speaks before it says who it is");
    } else if (message instanceof SubscriberMessage.Acknowledgement acknowledgement) {
      session.acknowledged(now, acknowledgement.index());
      sendMissing(now, connection);
    } else if (message instanceof SubscriberMessage.EntryRejected rejected
        && (lastRejections.size() < MAX_REJECTIONS || lastRejections.containsKey(session.name()))) {
      lastRejections.put(session.name(), rejected);
    }
  }

  /**
   * Accepts a subscriber and sends the entries that it lacks, or rejects the subscriber with a
   * reason.
   */
  private void helloReceived(long now, long connection, SubscriberMessage.Hello hello) {
    long lastIndex = retainedEntries.lastIndex();
    if (!hello.group().equals(group)) {
      reject(connection, "it follows group '%s', and this is '%s'".formatted(hello.group(), group));
    } else if (sessions.size() >= limits.maxSubscribers()) {
      reject(connection, "as many follow this member as may");
    } else if (isLeaderLost(now)) {
      reject(connection, NO_LEADER);
    } else if (hello.index() > lastIndex) {
      // This member lags or was restored from a backup; the subscriber must not revert to that
      // older state.
      reject(
          connection,
          "this member knows up to %d, less than %d".formatted(lastIndex, hello.index()));
    } else {
      SubscriberSession session = new SubscriberSession(hello.name(), hello.index(), now);
      sessions.put(connection, session);
      sendMissing(now, connection);
      if (hello.index() == lastIndex) {
        sendHeartbeat(now, connection, session);
      }
    }
  }

  private void reject(long connection, String reason) {
    output.send(connection, new PublisherMessage.Rejection(reason));
    close(connection);
  }

  private void close(long connection) {
    sessions.remove(connection);
    output.close(connection);
  }

  /**
   * Sends the entries that a subscriber lacks, as far as its window permits, or rejects the
   * subscriber.
   */
  private void sendMissing(long now, long connection) {
    SubscriberSession session = sessions.get(connection);
    while (session != null
        && session.sentIndex() < retainedEntries.lastIndex()
        && session.inFlightBytes() < limits.windowBytes()) {
      if (session.sentIndex() >= retainedEntries.baseIndex()) {
        sendBatch(now, connection, session);
      } else if (!sendSnapshot(now, connection, session)) {
        return;
      }
    }
  }

  private void sendBatch(long now, long connection, SubscriberSession session) {
    long previousIndex = session.sentIndex();
    RetainedEntries.Batch batch = retainedEntries.batchAfter(previousIndex, MAX_BATCH_BYTES);
    session.stateSent(now, batch.lastIndex(), batch.bytes());
    output.send(connection, new PublisherMessage.Entries(previousIndex, batch.entries()));
  }

  /**
   * Sends the member's state. If the state is too old, rejects the subscriber and returns false.
   */
  private boolean sendSnapshot(long now, long connection, SubscriberSession session) {
    PublisherMessage.Snapshot snapshot = output.snapshot();
    if (snapshot.index() < retainedEntries.baseIndex() || snapshot.index() <= session.sentIndex()) {
      // The member is replaying its log, and entries after its state are not retained.
      reject(connection, "this member is catching up");
      return false;
    }
    session.stateSent(now, snapshot.index(), snapshot.state().length);
    output.send(connection, snapshot);
    return true;
  }

  private void sendHeartbeat(long now, long connection, SubscriberSession session) {
    session.heartbeatSent(now);
    output.send(connection, new PublisherMessage.Heartbeat(session.sentIndex()));
  }

  /** Handles the end of a subscriber's connection. */
  public void disconnected(long connection) {
    sessions.remove(connection);
  }

  /**
   * Sends heartbeats and disconnects subscribers that don't acknowledge. Rejects all subscribers if
   * the leader is lost. Must be called several times per {@link Limits#heartbeatNanos}.
   */
  public void tick(long now) {
    for (long connection : List.copyOf(sessions.keySet())) {
      SubscriberSession session = sessions.get(connection);
      if (session == null) {
        continue;
      }
      if (isLeaderLost(now)) {
        reject(connection, NO_LEADER);
      } else if (session.isAckOverdue(now, limits.ackTimeoutNanos())) {
        close(connection);
      } else if (session.isHeartbeatDue(now, limits.heartbeatNanos())) {
        sendHeartbeat(now, connection, session);
      }
    }
  }

  /** The last log index that was applied at this member, 0 for none. */
  public long lastIndex() {
    return retainedEntries.lastIndex();
  }

  /** The number of subscribers. */
  public int subscriberCount() {
    return sessions.size();
  }

  /** The number of bytes of retained entries. */
  public long retainedBytes() {
    return retainedEntries.bytes();
  }

  /** The number of bytes in flight to all subscribers. */
  public long inFlightBytes() {
    return sessions.values().stream().mapToLong(SubscriberSession::inFlightBytes).sum();
  }

  /** The last entry that each subscriber rejected, by the subscriber's name. */
  public Map<String, SubscriberMessage.EntryRejected> lastRejections() {
    return Map.copyOf(lastRejections);
  }
}
