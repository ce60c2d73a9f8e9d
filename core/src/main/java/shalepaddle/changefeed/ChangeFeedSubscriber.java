package shalepaddle.changefeed;

import java.util.SplittableRandom;

/**
 * Decides which member a node subscribes to, which messages it accepts, and whether it is in
 * contact with the group.
 *
 * <p>Entries are applied in the order of the log, each once. The subscriber never reverts to an
 * older state: it skips entries that it has, and if entries are missing it subscribes again from
 * its own index. When the connection to its member ends, is silent or lacks entries, it switches to
 * a random other member after a random backoff. Many nodes that lose the same member are thus
 * spread over the other members and over time.
 *
 * <p>Not thread-safe: owned by one thread. Times are monotonic nanoseconds.
 */
public final class ChangeFeedSubscriber {
  /**
   * The timeouts of a subscriber, in nanoseconds.
   *
   * @param silenceTimeoutNanos the time without a message after which another member is tried
   * @param connectTimeoutNanos the longest time from the start of a connection attempt to the first
   *     message
   * @param initialBackoffNanos the upper bound of the first random backoff; the bound doubles with
   *     each failed attempt
   * @param maxBackoffNanos the greatest value of that bound
   * @param ackIntervalNanos the time between two acknowledgements
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
    /**
     * The default timeouts, with which entries reach all nodes within 1.1 s even if a member fails.
     */
    public static final Timeouts DEFAULT =
        new Timeouts(
            /* silenceTimeoutNanos= */ 600_000_000L,
            /* connectTimeoutNanos= */ 1_500_000_000L,
            /* initialBackoffNanos= */ 100_000_000L,
            /* maxBackoffNanos= */ 1_000_000_000L,
            /* ackIntervalNanos= */ 500_000_000L,
            /* contactTimeoutNanos= */ 2_000_000_000L);
  }

  /** Performs the actions that a subscriber decides on. */
  public interface Output {
    /**
     * Opens a connection to a member. Only called while there is no other connection: the previous
     * one was closed, or its end was reported to {@link ChangeFeedSubscriber#disconnected}.
     *
     * @param member the member's number, counted from 0
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
     * @return false if the state can't be read; it is then unchanged
     */
    boolean installSnapshot(long index, byte[] state);

    /** Reports that the node has gained or lost contact with the group. */
    void contactChanged(boolean isInContact);

    /** Reports that a member rejected the subscription. */
    void rejected(int member, String reason);
  }

  private enum State {
    /** There is no connection; the subscriber opens one at the deadline. */
    BACKING_OFF,
    /** The connection is being opened; the subscriber gives up at the deadline. */
    CONNECTING,
    /**
     * The connection is open and the hello is sent; the subscriber gives up if no message arrives
     * by the deadline.
     */
    HELLO_SENT,
    /** The subscriber receives messages; it gives up if none arrives by the deadline. */
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

  /** The time at which {@link #tick} leaves the current state, unless an event does so earlier. */
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

  /** The time of the last call of any method with a time argument. */
  private long lastCallNanos;

  /**
   * Creates a subscriber that has no entries of the log.
   *
   * @param group the name of the group
   * @param name the node's own name
   * @param memberCount the number of members that can be subscribed to
   * @param seed random seed for the choice of members and backoffs; must differ between nodes
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
   * Closes the connection, if there is one, when no method was called for the contact timeout, for
   * example because the process was stopped. Messages that arrived in that time may be as old as
   * the stall without showing it, so the node is out of contact until it gets a message on a new
   * connection. Each method with a time argument calls this first.
   *
   * @return whether there was a stall; the event that the calling method handles is then obsolete
   */
  private boolean disconnectAfterStall(long now) {
    boolean hasStalled = now - lastCallNanos >= timeouts.contactTimeoutNanos;
    lastCallNanos = now;
    if (hasStalled && state != State.BACKING_OFF) {
      loseContact();
      output.close();
      backOff(now);
    }
    return hasStalled;
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

  /** The time by which {@link #tick} must be called. */
  public long nextTickNanos() {
    long tickNanos = deadlineNanos;
    if (isInContact) {
      tickNanos = Math.min(tickNanos, lastMessageNanos + timeouts.contactTimeoutNanos);
    }
    return hasUnacknowledgedIndex() ? Math.min(tickNanos, nextAckNanos) : tickNanos;
  }

  private boolean hasUnacknowledgedIndex() {
    return state == State.SUBSCRIBED && lastIndex > acknowledgedIndex;
  }

  /** Handles all timeouts that are due. */
  public void tick(long now) {
    // After a stall, nothing else is due: a new backoff has begun.
    disconnectAfterStall(now);
    if (now - lastMessageNanos >= timeouts.contactTimeoutNanos) {
      loseContact();
    }
    if (hasUnacknowledgedIndex() && now - nextAckNanos >= 0) {
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

  /** Switches to a random other member, after a backoff that grows until a message is accepted. */
  private void switchMember(long now) {
    if (memberCount == 1) {
      member = 0;
    } else {
      member = (member + 1 + random.nextInt(memberCount - 1)) % memberCount;
    }
    backOff(now);
    maxNextBackoffNanos = Math.min(timeouts.maxBackoffNanos, 2 * maxNextBackoffNanos);
  }

  /** Handles an established connection. */
  public void connected(long now) {
    if (!disconnectAfterStall(now) && state == State.CONNECTING) {
      state = State.HELLO_SENT;
      acknowledgedIndex = lastIndex;
      output.send(new SubscriberMessage.Hello(group, name, lastIndex));
    }
  }

  /** Handles a connection that could not be established or has ended. */
  public void disconnected(long now) {
    if (!disconnectAfterStall(now) && state != State.BACKING_OFF) {
      switchMember(now);
    }
  }

  /** Handles a message from the member. */
  public void received(long now, PublisherMessage message) {
    if (disconnectAfterStall(now) || !isConnected()) {
      return;
    }
    if (message instanceof PublisherMessage.Rejection rejection) {
      output.rejected(member, rejection.reason());
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
   * Applies the new entries or the new state in a message.
   *
   * @return false if earlier entries are missing here or the snapshot can't be read; the connection
   *     must then be closed
   */
  private boolean accept(long now, PublisherMessage message) {
    long indexBefore = lastIndex;
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
    if (lastIndex > indexBefore && indexBefore == acknowledgedIndex) {
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
   * @param reason the reason for operators; cut to {@link SubscriberMessage#MAX_TEXT_LENGTH}
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

  /** Whether a message was received recently and no entries were missing before it. */
  public boolean isInContact() {
    return isInContact;
  }

  /** The number of the member that this subscriber is subscribed to or will connect to next. */
  public int member() {
    return member;
  }
}
