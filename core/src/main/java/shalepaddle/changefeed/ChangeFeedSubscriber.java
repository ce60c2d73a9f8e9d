package shalepaddle.changefeed;

import java.util.SplittableRandom;

/**
 * One node's part in the feed: whom it follows, what it takes, and whether it is in contact.
 *
 * <p>It takes entries in the order of the log, each once, and never goes back: what it knows
 * already is passed over, and where something would be missing it asks anew from its own place. It
 * follows one member at a time; where that one breaks, falls silent or lags, the next, at a time of
 * its own, so that the many that lost the same member do not come to the next together.
 *
 * <p>Not thread-safe.
 */
public final class ChangeFeedSubscriber {
  /**
   * How long things may take.
   *
   * @param silenceTimeoutNanos without a word, after which the next member is tried
   * @param connectTimeoutNanos for a connection to come up and be answered
   * @param initialBackoffNanos before the next try at most, doubled with each that fails
   * @param maxBackoffNanos the same at the most
   * @param ackIntervalNanos between two words on what was taken
   * @param contactTimeoutNanos without a word, after which the node is out of contact; longer than
   *     all others
   */
  public record Timeouts(
      long silenceTimeoutNanos,
      long connectTimeoutNanos,
      long initialBackoffNanos,
      long maxBackoffNanos,
      long ackIntervalNanos,
      long contactTimeoutNanos) {
    /** For entries that are to be everywhere within 1.1 s, also where a member vanishes. */
    public static final Timeouts DEFAULT =
        new Timeouts(
            600_000_000L,
            1_500_000_000L,
            100_000_000L,
            1_000_000_000L,
            500_000_000L,
            2_000_000_000L);
  }

  /** Carries out what is decided. */
  public interface Output {
    /** Opens a connection to the member of this number; any older one is closed. */
    void connect(int member);

    /** Closes the connection, whatever its state. */
    void close();

    /** Says something on the connection. */
    void send(SubscriberMessage said);

    /** An entry is in force from now on. */
    void apply(ChangeEntry entry);

    /**
     * This state takes the place of all that was in force.
     *
     * @return false if it can't be read, and nothing has changed
     */
    boolean installSnapshot(long index, byte[] image);

    /** Whether the node is in contact has changed. */
    void contactChanged(boolean in);

    /** A member can't be followed. */
    void rejected(int member, String why);
  }

  private enum State {
    /** Not connected, until {@link #due}. */
    WAITING,
    CONNECTING,
    /** Connected and greeted; nothing has come yet. */
    GREETED,
    FOLLOWING
  }

  private final String group;
  private final String name;
  private final int members;
  private final Timeouts timeouts;
  private final Output output;
  private final SplittableRandom random;
  private State state = State.WAITING;
  private int member;
  private long due;
  private long wait;
  private long lastIndex;
  private boolean isInContact;
  private long heardAt;

  /** The place up to which the member knows that all is taken, and when it is told next. */
  private long toldTaken;

  private long takenDue;

  /** When it was last called: it asks to be, more often than the node is out of contact. */
  private long calledAt;

  /**
   * A follower that knows nothing.
   *
   * @param name its own
   * @param members how many can be followed
   * @param seed for whom it follows first, and its times; another one at each node
   */
  public ChangeFeedSubscriber(
      String group, String name, int members, long seed, long now, Timeouts pace, Output carrier) {
    this.group = group;
    this.name = name;
    this.members = members;
    this.timeouts = pace;
    this.output = carrier;
    this.random = new SplittableRandom(seed);
    this.member = random.nextInt(members);
    this.wait = pace.initialBackoffNanos;
    this.heardAt = now;
    this.calledAt = now;
    pause(now);
  }

  /**
   * Whether the node has stood still until now. Guards against what has come meanwhile and is read
   * only now: it may be as old as that, and nothing tells. Who stood still for long asks anew, and
   * is out of contact until it is answered.
   */
  private boolean stoodStill(long now) {
    boolean still = now - calledAt >= timeouts.contactTimeoutNanos;
    calledAt = now;
    if (still && state != State.WAITING) {
      out();
      output.close();
      pause(now);
    }
    return still;
  }

  private void out() {
    if (isInContact) {
      isInContact = false;
      output.contactChanged(false);
    }
  }

  private void pause(long now) {
    state = State.WAITING;
    due = now + random.nextLong(wait + 1);
  }

  /** When {@link #tick} is to be called at the latest. */
  public long nextTickNanos() {
    long next = due;
    if (isInContact) {
      next = Math.min(next, heardAt + timeouts.contactTimeoutNanos);
    }
    return lastIndex > toldTaken && state == State.FOLLOWING ? Math.min(next, takenDue) : next;
  }

  /** Time has passed. */
  public void tick(long now) {
    stoodStill(now);
    if (now - heardAt >= timeouts.contactTimeoutNanos) {
      out();
    }
    if (state == State.FOLLOWING && lastIndex > toldTaken && now - takenDue >= 0) {
      sayTaken(now);
    }
    if (now - due < 0) {
      return;
    }
    if (state == State.WAITING) {
      state = State.CONNECTING;
      due = now + timeouts.connectTimeoutNanos;
      output.connect(member);
    } else {
      output.close();
      next(now);
    }
  }

  /** Tries another member, after a while of its own: of those that lost one, as many each. */
  private void next(long now) {
    member = members == 1 ? 0 : (member + 1 + random.nextInt(members - 1)) % members;
    pause(now);
    wait = Math.min(timeouts.maxBackoffNanos, 2 * wait);
  }

  /** The connection has come up. */
  public void connected(long now) {
    if (!stoodStill(now) && state == State.CONNECTING) {
      state = State.GREETED;
      toldTaken = lastIndex;
      output.send(new SubscriberMessage.Hello(group, name, lastIndex));
    }
  }

  /** The connection did not come up, or has ended. */
  public void disconnected(long now) {
    if (!stoodStill(now) && state != State.WAITING) {
      next(now);
    }
  }

  /** The member that is followed has told something. */
  public void received(long now, PublisherMessage told) {
    if (stoodStill(now) || (state != State.GREETED && state != State.FOLLOWING)) {
      return;
    }
    if (told instanceof PublisherMessage.Rejected down) {
      output.rejected(member, down.reason());
      output.close();
      next(now);
      return;
    }
    state = State.FOLLOWING;
    heardAt = now;
    due = now + timeouts.silenceTimeoutNanos;
    if (takes(now, told)) {
      wait = timeouts.initialBackoffNanos;
      if (!isInContact) {
        isInContact = true;
        output.contactChanged(true);
      }
    } else {
      // A hole: it asks again from its own place, of whoever is next.
      output.close();
      next(now);
    }
  }

  /** Takes what is new; false if something between it and what is known is missing. */
  private boolean takes(long now, PublisherMessage told) {
    long before = lastIndex;
    if (told instanceof PublisherMessage.Snapshot snapshot) {
      if (snapshot.index() > lastIndex) {
        if (!output.installSnapshot(snapshot.index(), snapshot.state())) {
          return false;
        }
        lastIndex = snapshot.index();
      }
    } else if (told instanceof PublisherMessage.Entries entries) {
      if (entries.previousIndex() > lastIndex) {
        return false;
      }
      for (ChangeEntry entry : entries.entries()) {
        if (entry.index() > lastIndex) {
          lastIndex = entry.index();
          output.apply(entry);
        }
      }
    } else if (told instanceof PublisherMessage.Heartbeat alive && alive.index() > lastIndex) {
      return false;
    }
    if (lastIndex > before && before == toldTaken) {
      takenDue = now + timeouts.ackIntervalNanos;
    }
    return true;
  }

  private void sayTaken(long now) {
    toldTaken = lastIndex;
    takenDue = now + timeouts.ackIntervalNanos;
    output.send(new SubscriberMessage.Acknowledgement(lastIndex));
  }

  /** What an entry says can't be done here: what was in force before holds. */
  public void rejectEntry(long at, String what) {
    if (state == State.FOLLOWING) {
      String told =
          what.length() > SubscriberMessage.MAX_TEXT_LENGTH
              ? what.substring(0, SubscriberMessage.MAX_TEXT_LENGTH)
              : what;
      output.send(new SubscriberMessage.EntryRejected(at, told));
    }
  }

  /** The place up to which it knows all. */
  public long lastIndex() {
    return lastIndex;
  }

  /** Whether it has heard from a member lately, and lacked nothing of what that one told. */
  public boolean isInContact() {
    return isInContact;
  }

  /** The number of the member that it follows, or tries to. */
  public int member() {
    return member;
  }
}
