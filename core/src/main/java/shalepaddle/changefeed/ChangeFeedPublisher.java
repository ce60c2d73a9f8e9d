package shalepaddle.changefeed;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decides what a member sends to the subscribers of the change feed.
 *
 * <p>For each subscriber the publisher knows the last log index that was sent to it and how many
 * bytes it has not acknowledged; entries are retained once for all of them. No more is sent to a
 * subscriber while {@link Limits#windowBytes} are not acknowledged, so a slow or stopped one does
 * not delay the others. It gets a snapshot once the entries that it lacks are not retained any
 * more.
 *
 * <p>Not thread-safe: owned by the thread that applies the log. Times are monotonic nanoseconds.
 */
public final class ChangeFeedPublisher {
  /** Bytes of entries in one message, unless a single entry is larger. */
  private static final int MAX_BATCH_BYTES = 16 << 10;

  /** Names of subscribers in {@link #lastRejections} at most; they are never removed. */
  private static final int MAX_REJECTIONS = 1024;

  private static final String NO_LEADER = "this member knows nobody who leads its group";

  /**
   * The limits and timeouts of a publisher.
   *
   * @param maxSubscribers that are served at once
   * @param maxRetainedBytes of entries for subscribers that reconnect
   * @param windowBytes sent to one subscriber and not acknowledged, from which on nothing more is
   *     sent to it; the last message may exceed it
   * @param heartbeatNanos after which a subscriber that was sent nothing gets a heartbeat
   * @param ackTimeoutNanos after which a subscriber that does not acknowledge is disconnected
   * @param leaderLossTimeoutNanos without a known leader, after which subscribers are rejected; an
   *     election takes less
   */
  public record Limits(
      int maxSubscribers,
      long maxRetainedBytes,
      int windowBytes,
      long heartbeatNanos,
      long ackTimeoutNanos,
      long leaderLossTimeoutNanos) {
    /** For twice the nodes that docs/CAPACITY.md plans for. */
    public static final Limits DEFAULT =
        new Limits(
            /* maxSubscribers= */ 1024,
            /* maxRetainedBytes= */ 8L << 20,
            /* windowBytes= */ 256 << 10,
            /* heartbeatNanos= */ 250_000_000L,
            /* ackTimeoutNanos= */ 5_000_000_000L,
            /* leaderLossTimeoutNanos= */ 2_500_000_000L);
  }

  /** Carries out what a publisher decides. */
  public interface Output {
    /** Sends a message to a subscriber, in the order of the calls. */
    void send(long connection, PublisherMessage message);

    /** Closes a subscriber's connection once everything was sent. */
    void close(long connection);

    /** The member's state, with the last log index that is applied in it. */
    PublisherMessage.Snapshot snapshot();
  }

  private final String group;
  private final Limits limits;
  private final Output output;
  private final RetainedEntries retained;

  /** The subscribers that have sent a hello, by connection, in the order of their hellos. */
  private final Map<Long, SubscriberSession> sessions = new LinkedHashMap<>();

  private final Map<String, SubscriberMessage.EntryRejected> lastRejections = new HashMap<>();

  private boolean isLeaderKnown;

  /** Since when no leader is known, if none is. */
  private long leaderLostNanos;

  /**
   * A publisher of an empty log, which rejects subscribers until it knows a leader: a member that
   * has just started does not know what it lacks.
   */
  public ChangeFeedPublisher(String group, long now, Limits limits, Output output) {
    this.group = group;
    this.leaderLostNanos = now - limits.leaderLossTimeoutNanos();
    this.limits = limits;
    this.output = output;
    this.retained = new RetainedEntries(limits.maxRetainedBytes());
  }

  /**
   * Whether this member knows the leader of its group. A member that is cut off from the others
   * would tell its subscribers that nothing is new, so after a time that an election may take they
   * are rejected and go to another one.
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
   * A committed entry was applied at this member.
   *
   * @throws IllegalStateException if its index is not after the last one
   */
  public void entryApplied(long now, ChangeEntry entry) {
    retained.add(entry);
    sendToAll(now);
  }

  /** A snapshot replaced the state of all entries that were applied at this member. */
  public void snapshotInstalled(long now, long snapshotIndex) {
    if (snapshotIndex <= retained.lastIndex()) {
      return;
    }
    retained.reset(snapshotIndex);
    sendToAll(now);
  }

  private void sendToAll(long now) {
    // A copy, since sending may end with a subscriber's removal.
    List.copyOf(sessions.keySet()).forEach(connection -> sendMissing(now, connection));
  }

  /** A message came from a subscriber. */
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

  /** Accepts a subscriber and sends what it lacks, or rejects it with a reason. */
  private void helloReceived(long now, long connection, SubscriberMessage.Hello hello) {
    long lastIndex = retained.lastIndex();
    if (!hello.group().equals(group)) {
      reject(connection, "it follows group '%s', and this is '%s'".formatted(hello.group(), group));
    } else if (sessions.size() >= limits.maxSubscribers()) {
      reject(connection, "as many follow this member as may");
    } else if (isLeaderLost(now)) {
      reject(connection, NO_LEADER);
    } else if (hello.index() > lastIndex) {
      // This member lags or was restored from a backup: the subscriber must not go back.
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
    output.send(connection, new PublisherMessage.Rejected(reason));
    close(connection);
  }

  private void close(long connection) {
    sessions.remove(connection);
    output.close(connection);
  }

  /** Sends what a subscriber lacks, as far as its window allows; rejects it if that is gone. */
  private void sendMissing(long now, long connection) {
    SubscriberSession session = sessions.get(connection);
    while (session != null
        && session.sentIndex() < retained.lastIndex()
        && session.inFlightBytes() < limits.windowBytes()) {
      if (session.sentIndex() >= retained.baseIndex()) {
        sendBatch(now, connection, session);
      } else if (!sendSnapshot(now, connection, session)) {
        return;
      }
    }
  }

  private void sendBatch(long now, long connection, SubscriberSession session) {
    long previousIndex = session.sentIndex();
    RetainedEntries.Batch batch = retained.batchAfter(previousIndex, MAX_BATCH_BYTES);
    session.stateSent(now, batch.lastIndex(), batch.bytes());
    output.send(connection, new PublisherMessage.Entries(previousIndex, batch.entries()));
  }

  /** Sends the member's state; rejects the subscriber and returns false if that is too old. */
  private boolean sendSnapshot(long now, long connection, SubscriberSession session) {
    PublisherMessage.Snapshot snapshot = output.snapshot();
    if (snapshot.index() < retained.baseIndex() || snapshot.index() <= session.sentIndex()) {
      // The member is applying its log again, so that entries after its state are not retained.
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

  /** A subscriber's connection has ended. */
  public void disconnected(long connection) {
    sessions.remove(connection);
  }

  /**
   * Sends heartbeats, and disconnects subscribers that don't acknowledge, or all of them while no
   * leader is known. To be called several times in each {@link Limits#heartbeatNanos}.
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
    return retained.lastIndex();
  }

  /** How many subscribers are served. */
  public int subscriberCount() {
    return sessions.size();
  }

  /** Bytes of entries that are retained. */
  public long retainedBytes() {
    return retained.bytes();
  }

  /** Bytes that are in flight to all subscribers. */
  public long inFlightBytes() {
    return sessions.values().stream().mapToLong(SubscriberSession::inFlightBytes).sum();
  }

  /** The last entry that each subscriber rejected, by the subscriber's name. */
  public Map<String, SubscriberMessage.EntryRejected> lastRejections() {
    return Map.copyOf(lastRejections);
  }
}
