package shalepaddle.policy;

import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** What this balancer knows of one server: its list entry, requests in flight, health, warmth. */
final class ServerHealth {
  /** Failures to connect in a row that make a server suspect; one may be a full server's. */
  private static final int SUSPECT_AFTER = 2;

  /** Attempts in a row not served that make a server suspect, where most servers fare well. */
  static final int UNSERVED_AFTER = 3;

  /**
   * How much a reset, or a request turned away, counts among those. Networks and idle limits break
   * connections to servers that run, and who has no room for a fetch may serve all else. Could do
   * harm where few requests make such a row likely.
   */
  private static final double HALF_COUNTS = 0.5;

  /** Pause before a suspect's first trial, and the longest one, in seconds. */
  private static final double FIRST_PAUSE = 0.5;

  private static final double LONGEST_PAUSE = 4;

  /**
   * What a cold server is offered, in times of what it can do by the contract: with less, the keys
   * of many that start at once crowd the rest. Harms where usual load is near capacity: rule 4
   * allows three times.
   */
  private static final double COLD_SHARE = 2;

  /** Seconds in which what is not renewed fades to a third. */
  private static final double STRAIN_FADES = 3;

  final long id;
  ServerEntry entry;
  int inFlight;

  /** The part of its fetches that fails, comes late or is turned away, and as of when. */
  private double fetchLosses;

  private double fetchedAt = Double.NEGATIVE_INFINITY;

  /** The share of its keys that the server is offered, learned from how it fares. */
  private double share = 1;

  /** How strained it is, lately: above 1 its answers come late or its cores are all in use. */
  private double strain = 0.5;

  private double learnedAt;

  private final Settings.Contract contract;
  private double startedAt;

  /** The last start that the list told. */
  private double toldStart = ServerStartTimes.LONG_AGO;

  /** Refused connections in a row, and when the first and the last sign of a break came. */
  private int refused;

  private double refusedAt;
  private double brokenAt = Double.NEGATIVE_INFINITY;

  /** Whether it is suspect for serving nothing in a row, though it may accept connections. */
  private boolean useless;

  private double pause;
  private double trialAt;
  private boolean trialOut;

  /** Attempts in a row that it did not serve, and when the last attempt ended. */
  double unserved;

  double endedAt;

  /** When a connection was last in use; none is held when this is too long ago. */
  double connectedAt = Double.NEGATIVE_INFINITY;

  /** With what part of a request's budget a cold server begins here. */
  private final double phase;

  private double tokens;
  private double tokensAt;

  ServerHealth(ServerEntry entry, double now, Settings settings) {
    this.id = entry.id();
    this.entry = entry;
    this.contract = settings.contract();
    // Spread over the balancers: from none, many would wait long and then send their first
    // together.
    double part = (double) settings.instanceNumber() / Math.max(1, settings.instances());
    this.phase = (ConsistentHashRing.fraction(id) + part) % 1;
    this.learnedAt = now;
    coldSince(now, ServerStartTimes.LONG_AGO);
  }

  private void coldSince(double now, double at) {
    startedAt = at;
    tokens = phase;
    tokensAt = now;
  }

  /**
   * The list has news of this server; a new start means an empty cache and a cold machine.
   *
   * @param start when it started last, in this balancer's time
   */
  void listed(ServerEntry news, double start, double now) {
    if (start > toldStart) {
      toldStart = start;
      coldSince(now, Math.max(startedAt, start));
      refused = 0;
      useless = false;
      trialOut = false;
    }
    entry = news;
  }

  boolean suspect() {
    return useless || refused >= SUSPECT_AFTER;
  }

  /** Whether a suspect server may get a trial request now: one at a time, after a pause. */
  boolean trialDue(double now) {
    return !trialOut && now >= trialAt;
  }

  /**
   * A sign of strain, 1 being the most that is fair. Guards against servers slower than the list
   * says, or with too many keys, where a balancer has too little in flight for a cap to act.
   */
  void strained(double now, double sample, double fair) {
    strain = strain(now) + 0.2 * (Math.min(4, Math.max(0, sample)) - strain(now));
    double clipped = Math.min(4, Math.max(0, sample / fair));
    if (clipped > 1) {
      // A balancer that sees little learns more from each sample: it speaks for the time before it.
      double gain = Math.max(0.1, Math.min(0.25, 0.2 * (now - learnedAt)));
      share *= 1 - gain * (clipped - 1);
    } else {
      share += 0.05 * (1 - clipped) * Math.max(share, 0.2);
    }
    // Without any sample the share still comes back slowly: a server with few keys has few.
    share += 0.02 * Math.min(5, Math.max(0, now - learnedAt));
    share = Math.min(1, Math.max(0.02, share));
    learnedAt = now;
  }

  /** Old strain fades: a server that gets nothing must not be held strained for good. */
  double strain(double now) {
    return strain * Math.exp(Math.min(0, learnedAt - now) / STRAIN_FADES);
  }

  double share(double now) {
    return Math.min(1, share + 0.02 * Math.max(0, now - learnedAt));
  }

  /** What it loses of its fetches; where it has had few lately, what all lose. */
  double fetchLosses(double now, double all) {
    return all + (fetchLosses - all) * Math.exp((fetchedAt - now) / STRAIN_FADES);
  }

  void fetched(double now, boolean lost, double all) {
    fetchLosses = fetchLosses(now, all) * 0.85 + (lost ? 0.15 : 0);
    fetchedAt = now;
  }

  /**
   * Whether the key is among those that the server keeps while it is offered but a share, for its
   * strain or since it is cold: all balancers then let the same keys wait for it to warm.
   */
  boolean keeps(double now, long keyHash, double most) {
    double kept = share(now) / most * Math.min(1, COLD_SHARE * warmth(now));
    return kept >= 1 || ConsistentHashRing.fraction(keyHash ^ ConsistentHashRing.mix(id)) < kept;
  }

  /** The share of its capacity that a started server has by the contract: 1 once it is warm. */
  double warmth(double now) {
    double age = now - startedAt;
    if (!(age < contract.slowStartSeconds())) {
      return 1;
    }
    double from = Math.max(0.01, Math.min(1, contract.slowStartMinRatio()));
    return from + (1 - from) * Math.max(0, age) / contract.slowStartSeconds();
  }

  /**
   * Rule 4: whether a cold server's budget has room for one more request, where few keys draw much.
   * The rate is that at which warm servers of like weight answer this balancer.
   */
  boolean coldRoom(double now, double warmRate) {
    double rate = COLD_SHARE * warmRate * warmth(now);
    tokens = Math.min(Math.max(1, rate * 0.5), tokens + (now - tokensAt) * rate);
    tokensAt = now;
    return tokens >= 1;
  }

  void sent() {
    inFlight++;
    tokens -= 1; // Of no matter while it is warm: a start sets them anew.
    if (suspect()) {
      trialOut = true;
    }
  }

  /** An attempt ended; true if the server refused a connection and may yet be running. */
  boolean ended(double now, Outcome outcome, double idleTimeout, boolean few) {
    Outcome.Result result = outcome.result();
    boolean served = result == Outcome.Result.OK || result == Outcome.Result.CACHE_MISS;
    // An error that names a miss is the origin's.
    boolean failed =
        result == Outcome.Result.TIMEOUT
            || result == Outcome.Result.SERVER_BUSY
            || (result == Outcome.Result.ERROR
                && outcome.cacheStatus() == Outcome.CacheStatus.NONE);
    // What was out when a connection broke tells of that break once more, and of nothing since.
    boolean fresh = now - outcome.elapsedSeconds() > brokenAt;
    boolean reset = result == Outcome.Result.RESET && fresh;
    // A server is not blamed for time in which this node did not listen.
    boolean half = reset || result == Outcome.Result.SERVER_BUSY;
    unserved = served ? 0 : unserved + (half ? HALF_COUNTS : failed ? outcome.activeRatio() : 0);
    inFlight--;
    endedAt = now;
    trialOut = false;
    boolean was = suspect();
    boolean held = (refused > 0 ? refusedAt : now) - connectedAt < idleTimeout;
    if (result == Outcome.Result.CONNECT_FAILED && fresh && outcome.isMostlyActive()) {
      refusedAt = refused == 0 ? now : refusedAt;
      refused++;
    } else if (result.isServerResponse()) {
      if (refused >= SUSPECT_AFTER && held && now - outcome.elapsedSeconds() > refusedAt) {
        // It was down and answers what was sent since: before the list tells, it is new and cold.
        coldSince(now, Math.max(startedAt, now));
      }
      connectedAt = now;
      refused = 0;
      useless = false;
    }
    if (fresh && result.isConnectionFailure()) {
      brokenAt = now;
    }
    // Guards against servers that hang, whose fetches would be taken for the origin's losses, and
    // against those that turn all away at once and so draw the most; not where many do so, for that
    // has a cause that they share.
    if ((failed || reset) && few && unserved >= UNSERVED_AFTER) {
      useless = true;
    }
    if (suspect() && !served && (!was || now - outcome.elapsedSeconds() >= trialAt)) {
      boolean longer = was && result != Outcome.Result.RESET;
      pause = longer ? Math.min(LONGEST_PAUSE, pause * 1.5) : FIRST_PAUSE;
      trialAt = now + pause;
    }
    return result == Outcome.Result.CONNECT_FAILED && !held;
  }
}
