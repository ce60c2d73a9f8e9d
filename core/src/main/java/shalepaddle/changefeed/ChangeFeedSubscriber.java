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
   * @param silenceNanos without a word, after which the next member is tried
   * @param connectNanos for a connection to come up and be answered
   * @param firstWaitNanos before the next try at most, doubled with each that fails
   * @param mostWaitNanos the same at the most
   * @param takenNanos between two words on what was taken
   * @param lostNanos without a word, after which the node is out of contact; longer than all others
   */
  public record Pace(
      long silenceNanos,
      long connectNanos,
      long firstWaitNanos,
      long mostWaitNanos,
      long takenNanos,
      long lostNanos) {
    /** For entries that are to be everywhere within 1.1 s, also where a member vanishes. */
    public static final Pace USUAL =
        new Pace(
            600_000_000L,
            1_500_000_000L,
            100_000_000L,
            1_000_000_000L,
            500_000_000L,
            2_000_000_000L);
  }

  /** Carries out what is decided. */
  public interface Carrier {
    /** Opens a connection to the member of this number; any older one is closed. */
    void connect(int member);

    /** Closes the connection, whatever its state. */
    void close();

    /** Says something on the connection. */
    void say(SubscriberMessage said);

    /** An entry is in force from now on. */
    void apply(ChangeEntry entry);

    /**
     * This state takes the place of all that was in force.
     *
     * @return false if it can't be read, and nothing has changed
     */
    boolean load(long index, byte[] image);

    /** Whether the node is in contact has changed. */
    void contact(boolean in);

    /** A member can't be followed. */
    void turnedDown(int member, String why);
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
  private final Pace pace;
  private final Carrier carrier;
  private final SplittableRandom random;
  private State state = State.WAITING;
  private int member;
  private long due;
  private long wait;
  private long index;
  private boolean inContact;
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
      String group, String name, int members, long seed, long now, Pace pace, Carrier carrier) {
    this.group = group;
    this.name = name;
    this.members = members;
    this.pace = pace;
    this.carrier = carrier;
    this.random = new SplittableRandom(seed);
    this.member = random.nextInt(members);
    this.wait = pace.firstWaitNanos;
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
    boolean still = now - calledAt >= pace.lostNanos;
    calledAt = now;
    if (still && state != State.WAITING) {
      out();
      carrier.close();
      pause(now);
    }
    return still;
  }

  private void out() {
    if (inContact) {
      inContact = false;
      carrier.contact(false);
    }
  }

  private void pause(long now) {
    state = State.WAITING;
    due = now + random.nextLong(wait + 1);
  }

  /** When {@link #tick} is to be called at the latest. */
  public long nextDue() {
    long next = due;
    if (inContact) {
      next = Math.min(next, heardAt + pace.lostNanos);
    }
    return index > toldTaken && state == State.FOLLOWING ? Math.min(next, takenDue) : next;
  }

  /** Time has passed. */
  public void tick(long now) {
    stoodStill(now);
    if (now - heardAt >= pace.lostNanos) {
      out();
    }
    if (state == State.FOLLOWING && index > toldTaken && now - takenDue >= 0) {
      sayTaken(now);
    }
    if (now - due < 0) {
      return;
    }
    if (state == State.WAITING) {
      state = State.CONNECTING;
      due = now + pace.connectNanos;
      carrier.connect(member);
    } else {
      carrier.close();
      next(now);
    }
  }

  /** Tries another member, after a while of its own: of those that lost one, as many each. */
  private void next(long now) {
    member = members == 1 ? 0 : (member + 1 + random.nextInt(members - 1)) % members;
    pause(now);
    wait = Math.min(pace.mostWaitNanos, 2 * wait);
  }

  /** The connection has come up. */
  public void up(long now) {
    if (!stoodStill(now) && state == State.CONNECTING) {
      state = State.GREETED;
      toldTaken = index;
      carrier.say(new SubscriberMessage.Hello(group, name, index));
    }
  }

  /** The connection did not come up, or has ended. */
  public void down(long now) {
    if (!stoodStill(now) && state != State.WAITING) {
      next(now);
    }
  }

  /** The member that is followed has told something. */
  public void told(long now, PublisherMessage told) {
    if (stoodStill(now) || (state != State.GREETED && state != State.FOLLOWING)) {
      return;
    }
    if (told instanceof PublisherMessage.TurnedDown down) {
      carrier.turnedDown(member, down.why());
      carrier.close();
      next(now);
      return;
    }
    state = State.FOLLOWING;
    heardAt = now;
    due = now + pace.silenceNanos;
    if (takes(now, told)) {
      wait = pace.firstWaitNanos;
      if (!inContact) {
        inContact = true;
        carrier.contact(true);
      }
    } else {
      // A hole: it asks again from its own place, of whoever is next.
      carrier.close();
      next(now);
    }
  }

  /** Takes what is new; false if something between it and what is known is missing. */
  private boolean takes(long now, PublisherMessage told) {
    long before = index;
    if (told instanceof PublisherMessage.Snapshot snapshot) {
      if (snapshot.index() > index) {
        if (!carrier.load(snapshot.index(), snapshot.image())) {
          return false;
        }
        index = snapshot.index();
      }
    } else if (told instanceof PublisherMessage.Entries entries) {
      if (entries.after() > index) {
        return false;
      }
      for (ChangeEntry entry : entries.entries()) {
        if (entry.index() > index) {
          index = entry.index();
          carrier.apply(entry);
        }
      }
    } else if (told instanceof PublisherMessage.Alive alive && alive.index() > index) {
      return false;
    }
    if (index > before && before == toldTaken) {
      takenDue = now + pace.takenNanos;
    }
    return true;
  }

  private void sayTaken(long now) {
    toldTaken = index;
    takenDue = now + pace.takenNanos;
    carrier.say(new SubscriberMessage.Taken(index));
  }

  /** What an entry says can't be done here: what was in force before holds. */
  public void wrong(long at, String what) {
    if (state == State.FOLLOWING) {
      String told =
          what.length() > SubscriberMessage.MOST_TEXT
              ? what.substring(0, SubscriberMessage.MOST_TEXT)
              : what;
      carrier.say(new SubscriberMessage.Wrong(at, told));
    }
  }

  /** The place up to which it knows all. */
  public long index() {
    return index;
  }

  /** Whether it has heard from a member lately, and lacked nothing of what that one told. */
  public boolean inContact() {
    return inContact;
  }

  /** The number of the member that it follows, or tries to. */
  public int member() {
    return member;
  }
}
