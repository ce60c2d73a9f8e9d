package shalepaddle.changefeed;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * What one member sends to the nodes that follow it.
 *
 * <p>A follower is a place in the log, and what is on its way to it: nothing is stored for it. One
 * that is slow or has stopped is sent no more than {@link Limits#windowBytes} ahead of what it has
 * taken, holds up nobody, and gets a snapshot once the entries that it lacks are not kept any more.
 *
 * <p>Not thread-safe: it belongs to whoever applies the log.
 */
public final class ChangeFeedPublisher {
  /** Bytes of entries that go in one message, but for a single larger one. */
  private static final int BATCH_BYTES = 16 << 10;

  /** Bytes that an entry takes beside its body, in memory and on its way. */
  private static final int ENTRY_BYTES = 16;

  /** Followers that are kept in mind for what they found wrong. */
  private static final int MOST_WRONG = 1024;

  /**
   * What bounds a publisher.
   *
   * @param maxSubscribers connections that are served
   * @param maxRetainedBytes of entries that are kept for those that come back
   * @param windowBytes that may be on their way to one follower
   * @param heartbeatNanos after which a follower that was told nothing is told so
   * @param ackTimeoutNanos after which one that has not taken what it was sent is dropped
   * @param leaderLossTimeoutNanos without a leader in sight, after which nobody is told that
   *     nothing is new
   */
  public record Limits(
      int maxSubscribers,
      long maxRetainedBytes,
      int windowBytes,
      long heartbeatNanos,
      long ackTimeoutNanos,
      long leaderLossTimeoutNanos) {
    /** Those for a fleet of the size that is coming, and twice that. */
    public static final Limits DEFAULT =
        new Limits(1024, 8L << 20, 256 << 10, 250_000_000L, 5_000_000_000L, 2_500_000_000L);
  }

  /** Carries out what is decided. */
  public interface Output {
    /** Tells a follower; in the order of the calls, or not at all once it is dropped. */
    void send(long connection, PublisherMessage told);

    /** Closes a follower's connection, once what it was told has gone out. */
    void close(long connection);

    /** The whole state, as of the last entry that is in it. */
    PublisherMessage.Snapshot snapshot();
  }

  /** What has been sent and is not known to be taken. */
  private record OnItsWay(long index, int bytes) {}

  private static final class Session {
    private final String name;
    private final ArrayDeque<OnItsWay> out = new ArrayDeque<>();
    private long sent;
    private int outBytes;
    private long toldAt;
    private long takenAt;

    Session(String name, long index, long now) {
      this.name = name;
      this.sent = index;
      this.toldAt = now;
      this.takenAt = now;
    }
  }

  private final String group;
  private final Limits limits;
  private final Output output;
  private final TreeMap<Long, ChangeEntry> kept = new TreeMap<>();
  private final Map<Long, Session> sessions = new LinkedHashMap<>();
  private final Map<String, SubscriberMessage.EntryRejected> lastRejections = new HashMap<>();
  private long retainedBytes;

  /** All entries behind this place are kept. */
  private long base;

  private long lastIndex;

  /** Whether this member knows who leads, and since when it has not. */
  private boolean setLeaderKnown;

  private long aloneSince;

  /** A publisher of a log of which nothing is known yet; it serves once it knows who leads. */
  public ChangeFeedPublisher(String group, long now, Limits limits, Output carrier) {
    this.group = group;
    // Whoever has just started does not know yet what it lacks.
    this.aloneSince = now - limits.leaderLossTimeoutNanos();
    this.limits = limits;
    this.output = carrier;
  }

  /**
   * Whether this member knows who leads its group. Guards against followers of a member that is cut
   * off from the others, which would hear that nothing is new while much is: after a while, in
   * which an election may come to its end, they are sent on.
   */
  public void setLeaderKnown(long now, boolean known) {
    if (setLeaderKnown && !known) {
      aloneSince = now;
    }
    setLeaderKnown = known;
  }

  private boolean alone(long now) {
    return !setLeaderKnown && now - aloneSince >= limits.leaderLossTimeoutNanos();
  }

  /**
   * An entry was applied here.
   *
   * @throws IllegalStateException if it is not behind the last one
   */
  public void entryApplied(long now, ChangeEntry entry) {
    if (entry.index() <= lastIndex) {
      throw new IllegalStateException("entry " + entry.index() + " after " + lastIndex);
    }
    lastIndex = entry.index();
    kept.put(lastIndex, entry);
    retainedBytes += size(entry);
    while (retainedBytes > limits.maxRetainedBytes()) {
      ChangeEntry oldest = kept.pollFirstEntry().getValue();
      retainedBytes -= size(oldest);
      base = oldest.index();
    }
    // A copy: what is told may end in a follower's being dropped.
    List.copyOf(sessions.keySet()).forEach(connection -> feed(now, connection));
  }

  /** A snapshot took the place of all that was applied here. */
  public void snapshotInstalled(long now, long at) {
    if (at <= lastIndex) {
      return;
    }
    kept.clear();
    retainedBytes = 0;
    base = at;
    lastIndex = at;
    List.copyOf(sessions.keySet()).forEach(connection -> feed(now, connection));
  }

  /** A follower has said something on this connection. */
  public void received(long now, long connection, SubscriberMessage said) {
    Session session = sessions.get(connection);
    if (said instanceof SubscriberMessage.Hello hello) {
      if (session != null) {
        turnDown(connection, "a second hello");
      } else {
        hello(now, connection, hello);
      }
    } else if (session == null) {
      turnDown(connection, "speaks before it says who it is");
    } else if (said instanceof SubscriberMessage.Acknowledgement taken) {
      taken(now, connection, session, taken.index());
    } else if (said instanceof SubscriberMessage.EntryRejected found
        && (lastRejections.size() < MOST_WRONG || lastRejections.containsKey(session.name))) {
      lastRejections.put(session.name, found);
    }
  }

  private void hello(long now, long connection, SubscriberMessage.Hello hello) {
    if (!hello.group().equals(group)) {
      turnDown(
          connection, "it follows group '%s', and this is '%s'".formatted(hello.group(), group));
    } else if (sessions.size() >= limits.maxSubscribers()) {
      turnDown(connection, "as many follow this member as may");
    } else if (alone(now)) {
      turnDown(connection, "this member knows nobody who leads its group");
    } else if (hello.index() > lastIndex) {
      // It knows more than this member, which lags or has gone back in time: nothing older.
      turnDown(
          connection,
          "this member knows up to %d, less than %d".formatted(lastIndex, hello.index()));
    } else {
      sessions.put(connection, new Session(hello.name(), hello.index(), now));
      feed(now, connection);
      if (hello.index() == lastIndex) {
        // That it lacks nothing is news to it.
        tell(
            now,
            connection,
            sessions.get(connection),
            new PublisherMessage.Heartbeat(lastIndex),
            0);
      }
    }
  }

  private void turnDown(long connection, String why) {
    output.send(connection, new PublisherMessage.Rejected(why));
    drop(connection);
  }

  private void drop(long connection) {
    sessions.remove(connection);
    output.close(connection);
  }

  private void taken(long now, long connection, Session session, long upTo) {
    session.takenAt = now;
    while (!session.out.isEmpty() && session.out.peek().index <= upTo) {
      session.outBytes -= session.out.poll().bytes;
    }
    feed(now, connection);
  }

  /** Sends what a follower lacks, as far as its window allows. */
  private void feed(long now, long connection) {
    Session session = sessions.get(connection);
    while (session != null && session.sent < lastIndex && session.outBytes < limits.windowBytes()) {
      if (session.sent < base) {
        PublisherMessage.Snapshot snapshot = output.snapshot();
        if (snapshot.index() < base || snapshot.index() <= session.sent) {
          // It is applying its log anew: what is behind its state is not kept either.
          turnDown(connection, "this member is catching up");
          return;
        }
        session.sent = snapshot.index();
        tell(now, connection, session, snapshot, snapshot.state().length);
      } else {
        long after = session.sent;
        List<ChangeEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (ChangeEntry entry : kept.tailMap(after, false).values()) {
          if (!batch.isEmpty() && bytes + size(entry) > BATCH_BYTES) {
            break;
          }
          batch.add(entry);
          bytes += size(entry);
        }
        session.sent = batch.get(batch.size() - 1).index();
        tell(now, connection, session, new PublisherMessage.Entries(after, batch), bytes);
      }
    }
  }

  private void tell(long now, long connection, Session session, PublisherMessage told, int bytes) {
    if (session.out.isEmpty()) {
      // Until now it owed nothing.
      session.takenAt = now;
    }
    if (bytes > 0) {
      session.out.add(new OnItsWay(session.sent, bytes));
      session.outBytes += bytes;
    }
    session.toldAt = now;
    output.send(connection, told);
  }

  private static int size(ChangeEntry entry) {
    return ENTRY_BYTES + entry.body().length;
  }

  /** A connection has ended. */
  public void disconnected(long connection) {
    sessions.remove(connection);
  }

  /** To be called several times in {@link Limits#heartbeatNanos}. */
  public void tick(long now) {
    for (long connection : List.copyOf(sessions.keySet())) {
      Session session = sessions.get(connection);
      if (session == null) {
        continue;
      }
      if (alone(now)) {
        turnDown(connection, "this member knows nobody who leads its group");
      } else if (!session.out.isEmpty() && now - session.takenAt >= limits.ackTimeoutNanos()) {
        drop(connection);
      } else if (now - session.toldAt >= limits.heartbeatNanos()) {
        tell(now, connection, session, new PublisherMessage.Heartbeat(session.sent), 0);
      }
    }
  }

  /** The last entry that was applied here. */
  public long lastIndex() {
    return lastIndex;
  }

  /** How many follow this member. */
  public int subscriberCount() {
    return sessions.size();
  }

  /** Bytes of entries that are kept. */
  public long retainedBytes() {
    return retainedBytes;
  }

  /** Bytes that are on their way to all followers. */
  public long inFlightBytes() {
    return sessions.values().stream().mapToLong(session -> session.outBytes).sum();
  }

  /** What followers found wrong last, by their names. */
  public Map<String, SubscriberMessage.EntryRejected> lastRejections() {
    return Map.copyOf(lastRejections);
  }
}
