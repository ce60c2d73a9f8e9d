package shalepaddle.changefeed;

import java.util.SplittableRandom;

/**
 * Decides which member a node subscribes to, what it accepts, and whether it is in contact with the
 * group.
 *
 * <p>It applies entries in the order of the log, each once, and never goes back: what it knows is
 * skipped, and where something is missing it subscribes again from its own index. When its member's
 * connection ends, falls silent or lacks entries, it goes to a random other one after a random
 * backoff, so that the many nodes that lose a member are spread over the others and over time.
 *
 * <p>Not thread-safe: owned by one thread. Times are monotonic nanoseconds.
 */
public final class ChangeFeedSubscriber {
  /**
   * The timeouts of a subscriber, in nanoseconds.
   *
   * @param silenceTimeoutNanos the time without a message after which another member is tried
   * @param connectTimeoutNanos from the start of an attempt to connect to the first message
   * @param initialBackoffNanos the upper bound of the first random backoff; the bound doubles with
   *     each failed attempt
   * @param maxBackoffNanos what the bound does not exceed
   * @param ackIntervalNanos between two acknowledgements
   * @param contactTimeoutNanos the time without a message after which the node is out of contact;
   *     must be longer than all others, which is not checked
   */
  public record Timeouts(
      long silenceTimeoutNanos,
      long connectTimeoutNanos,
      long initialBackoffNanos,
      long maxBackoffNanos,
      long ackIntervalNanos,
      long contactTimeoutNanos) {
    /** For entries that reach all nodes within 1.1 s, also when a member is lost. */
    public static final Timeouts DEFAULT =
        new Timeouts(
            /* silenceTimeoutNanos= */ 600_000_000L,
            /* connectTimeoutNanos= */ 1_500_000_000L,
            /* initialBackoffNanos= */ 100_000_000L,
            /* maxBackoffNanos= */ 1_000_000_000L,
            /* ackIntervalNanos= */ 500_000_000L,
            /* contactTimeoutNanos= */ 2_000_000_000L);
  }

  /** Carries out what a subscriber decides. */
  public interface Output {
    /**
     * Opens a connection to a member. Only called while there is no other: it was closed, or its
     * end was reported to {@link ChangeFeedSubscriber#disconnected}.
     *
     * @param member its number, from 0
     */
    void connect(int member);

    /** Closes the connection, if there is one, in any state. */
    void close();

    /** Sends a message on the connection. */
    void send(SubscriberMessage message);

    /** Applies an entry. */
    void apply(ChangeEntry entry);

    /**
     * Replaces the state.
     *
     * @return false if it can't be read, and nothing has changed
     */
    boolean installSnapshot(long index, byte[] state);

    /** The node has come into contact with the group, or has lost it. */
    void contactChanged(boolean isInContact);

    /** A member rejected the subscription. */
    void rejected(int member, String reason);
  }

  private enum State {
    /** Not connected, until the deadline. */
    BACKING_OFF,
    /** Connecting, until the deadline. */
    CONNECTING,
    /** Connected, and the hello is sent; nothing has come yet. */
    HELLO_SENT,
    /** Receives messages; the deadline is that of the next one. */
    SUBSCRIBED
  }

  private final String group;
  private final String name;
  private final int memberCount;
  private final Timeouts timeouts;
  private final Output output;
  private final SplittableRandom random;
  private State state = State.BACKING_OFF;
  private int member;

  /** When {@link #tick} leaves the state, unless something else does before. */
  private long deadlineNanos;

  /** The upper bound of the next random backoff. */
  private long maxNextBackoffNanos;

  /** The last log index that was received, in an entry or a snapshot; 0 for none. */
  private long lastIndex;

  private boolean isInContact;
  private long lastMessageNanos;

  /** The index in the last hello or acknowledgement on this connection. */
  private long acknowledgedIndex;

  private long nextAckNanos;

  /** When any method was last called with a time. */
  private long lastCallNanos;

  /**
   * A subscriber that knows nothing of the log.
   *
   * @param name the node's own
   * @param memberCount how many members can be subscribed to
   * @param seed for the choice of members and backoff; a different one at each node
   */
  public ChangeFeedSubscriber(
      String group,
      String name,
      int memberCount,
      long seed,
      long now,
      Timeouts timeouts,
      Output output) {
    this.group = group;
    this.name = name;
    this.memberCount = memberCount;
    this.timeouts = timeouts;
    this.output = output;
    this.random = new SplittableRandom(seed);
    this.member = random.nextInt(memberCount);
    this.maxNextBackoffNanos = timeouts.initialBackoffNanos;
    this.lastMessageNanos = now;
    this.lastCallNanos = now;
    backOff(now);
  }

  /**
   * Gives up the connection, if there is one, when no method was called for the contact timeout, as
   * when the process was stopped. Messages that came meanwhile may be as old as the stall, and
   * nothing shows it; so the node is out of contact until it is answered on a new connection. Each
   * method that is called with a time calls this first.
   *
   * @return whether there was a stall; what the caller was called for is then obsolete
   */
  private boolean disconnectAfterStall(long now) {
    boolean stalled = now - lastCallNanos >= timeouts.contactTimeoutNanos;
    lastCallNanos = now;
    if (stalled && state != State.BACKING_OFF) {
      loseContact();
      output.close();
      backOff(now);
    }
    return stalled;
  }

  private void loseContact() {
    if (isInContact) {
      isInContact = false;
      output.contactChanged(false);
    }
  }

  private void backOff(long now) {
    state = State.BACKING_OFF;
    deadlineNanos = now + random.nextLong(maxNextBackoffNanos + 1);
  }

  /** When {@link #tick} is to be called at the latest. */
  public long nextTickNanos() {
    long next = deadlineNanos;
    if (isInContact) {
      next = Math.min(next, lastMessageNanos + timeouts.contactTimeoutNanos);
    }
    return hasUnacknowledged() ? Math.min(next, nextAckNanos) : next;
  }

  private boolean hasUnacknowledged() {
    return state == State.SUBSCRIBED && lastIndex > acknowledgedIndex;
  }

  /** Time has passed. */
  public void tick(long now) {
    // A stall needs nothing more here: the state is that of a new backoff.
    disconnectAfterStall(now);
    if (now - lastMessageNanos >= timeouts.contactTimeoutNanos) {
      loseContact();
    }
    if (hasUnacknowledged() && now - nextAckNanos >= 0) {
      acknowledge(now);
    }
    if (now - deadlineNanos < 0) {
      return;
    }
    if (state == State.BACKING_OFF) {
      state = State.CONNECTING;
      deadlineNanos = now + timeouts.connectTimeoutNanos;
      output.connect(member);
    } else {
      output.close();
      switchMember(now);
    }
  }

  /** Goes to a random other member, after a backoff that grows until a message is accepted. */
  private void switchMember(long now) {
    if (memberCount == 1) {
      member = 0;
    } else {
      member = (member + 1 + random.nextInt(memberCount - 1)) % memberCount;
    }
    backOff(now);
    maxNextBackoffNanos = Math.min(timeouts.maxBackoffNanos, 2 * maxNextBackoffNanos);
  }

  /** The connection is established. */
  public void connected(long now) {
    if (!disconnectAfterStall(now) && state == State.CONNECTING) {
      state = State.HELLO_SENT;
      acknowledgedIndex = lastIndex;
      output.send(new SubscriberMessage.Hello(group, name, lastIndex));
    }
  }

  /** The connection could not be established, or has ended. */
  public void disconnected(long now) {
    if (!disconnectAfterStall(now) && state != State.BACKING_OFF) {
      switchMember(now);
    }
  }

  /** A message came from the member. */
  public void received(long now, PublisherMessage message) {
    if (disconnectAfterStall(now) || !isConnected()) {
      return;
    }
    if (message instanceof PublisherMessage.Rejected rejected) {
      output.rejected(member, rejected.reason());
      output.close();
      switchMember(now);
      return;
    }
    state = State.SUBSCRIBED;
    lastMessageNanos = now;
    deadlineNanos = now + timeouts.silenceTimeoutNanos;
    if (accept(now, message)) {
      maxNextBackoffNanos = timeouts.initialBackoffNanos;
      if (!isInContact) {
        isInContact = true;
        output.contactChanged(true);
      }
    } else {
      output.close();
      switchMember(now);
    }
  }

  private boolean isConnected() {
    return state == State.HELLO_SENT || state == State.SUBSCRIBED;
  }

  /**
   * Applies what is new in a message.
   *
   * @return false if entries before it are missing here, or its snapshot can't be read; the
   *     connection is then of no use
   */
  private boolean accept(long now, PublisherMessage message) {
    long before = lastIndex;
    boolean isAccepted;
    if (message instanceof PublisherMessage.Snapshot snapshot) {
      isAccepted = acceptSnapshot(snapshot);
    } else if (message instanceof PublisherMessage.Entries entries) {
      isAccepted = acceptEntries(entries);
    } else {
      isAccepted =
          !(message instanceof PublisherMessage.Heartbeat heartbeat)
              || heartbeat.index() <= lastIndex;
    }
    if (lastIndex > before && before == acknowledgedIndex) {
      nextAckNanos = now + timeouts.ackIntervalNanos;
    }
    return isAccepted;
  }

  private boolean acceptSnapshot(PublisherMessage.Snapshot snapshot) {
    if (snapshot.index() <= lastIndex) {
      return true;
    }
    if (!output.installSnapshot(snapshot.index(), snapshot.state())) {
      return false;
    }
    lastIndex = snapshot.index();
    return true;
  }

  private boolean acceptEntries(PublisherMessage.Entries entries) {
    if (entries.previousIndex() > lastIndex) {
      return false;
    }
    for (ChangeEntry entry : entries.entries()) {
      if (entry.index() > lastIndex) {
        lastIndex = entry.index();
        output.apply(entry);
      }
    }
    return true;
  }

  private void acknowledge(long now) {
    acknowledgedIndex = lastIndex;
    nextAckNanos = now + timeouts.ackIntervalNanos;
    output.send(new SubscriberMessage.Acknowledgement(lastIndex));
  }

  /**
   * Reports to the member that an entry can't be applied here.
   *
   * @param reason for operators; cut to {@link SubscriberMessage#MAX_TEXT_LENGTH}
   */
  public void rejectEntry(long index, String reason) {
    if (state == State.SUBSCRIBED) {
      int length = Math.min(reason.length(), SubscriberMessage.MAX_TEXT_LENGTH);
      output.send(new SubscriberMessage.EntryRejected(index, reason.substring(0, length)));
    }
  }

  /** The last log index that was received, in an entry or a snapshot; 0 for none. */
  public long lastIndex() {
    return lastIndex;
  }

  /** Whether a message came lately, and nothing was missing before it. */
  public boolean isInContact() {
    return isInContact;
  }

  /** The number of the member that it subscribes to, or will. */
  public int member() {
    return member;
  }
}
