package shalepaddle.policy.health;

import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.policy.hash.Hashing;

/**
 * What this load balancer knows of one server: its line of the endpoint list, requests in flight,
 * and the state of {@link OutlierDetector}, {@link SlowStart} and {@link LoadScore}.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class ServerHealth {
  /** Weight of a new fetch in the average of fetch losses. */
  private static final double FETCH_LOSS_GAIN_RATIO = 0.15;

  private final long id;
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final SlowStart slowStart;
  private final LoadScore loadScore;
  private ServerEntry entry;
  private int inFlight;

  /** The last start that the endpoint list gave. */
  private double listedStartSeconds = ServerStartTimes.LONG_AGO;

  private double fetchLossRatio;
  private double fetchedAtSeconds = Double.NEGATIVE_INFINITY;

  /** A server that was not listed before: warm, and without any failure. */
  public ServerHealth(ServerEntry entry, double nowSeconds, Settings settings) {
    this.id = entry.id();
    this.entry = entry;
    // Spread over the load balancers, as without any tokens many would wait long and then send
    // their first requests together.
    double offset = (double) settings.instanceNumber() / Math.max(1, settings.instances());
    this.slowStart =
        new SlowStart(settings.contract(), (Hashing.fraction(id) + offset) % 1, nowSeconds);
    this.loadScore = new LoadScore(nowSeconds);
  }

  /** The server's id, the same at every load balancer. */
  public long id() {
    return id;
  }

  /** Its line of the endpoint list. */
  public ServerEntry entry() {
    return entry;
  }

  /** This load balancer's attempts in flight at the server. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * The endpoint list has a line for this server; a new start means an empty cache.
   *
   * @param startSeconds when it started last, in this load balancer's time
   */
  public void onListed(ServerEntry listed, double startSeconds, double nowSeconds) {
    if (startSeconds > listedStartSeconds) {
      listedStartSeconds = startSeconds;
      slowStart.restart(nowSeconds, startSeconds);
      outlierDetector.reset();
    }
    entry = listed;
  }

  /** Whether it gets no requests but trials, see {@link OutlierDetector}. */
  public boolean isEjected() {
    return outlierDetector.isEjected();
  }

  /** Whether an ejected server may get a trial request now. */
  public boolean isTrialDue(double nowSeconds) {
    return outlierDetector.isTrialDue(nowSeconds);
  }

  /** Whether the last attempts there failed, as of the last second. */
  boolean isFailingRecently(double nowSeconds) {
    return outlierDetector.isFailingRecently(nowSeconds);
  }

  /** Whether more than one attempt in a row was not served. */
  public boolean isFailingRepeatedly() {
    return outlierDetector.consecutiveFailures() > 1;
  }

  /** Whether one more failure would eject it. */
  boolean isNearEjection() {
    return outlierDetector.consecutiveFailures() >= OutlierDetector.MAX_CONSECUTIVE_FAILURES - 1;
  }

  /** The part of its capacity that it has after a start: 1 once it is warm. */
  public double capacityRatio(double nowSeconds) {
    return slowStart.capacityRatio(nowSeconds);
  }

  /** Whether its slow start is over. */
  public boolean isWarm(double nowSeconds) {
    return capacityRatio(nowSeconds) >= 1;
  }

  /**
   * Whether slow start permits one more request.
   *
   * @param warmRequestsPerSecond the rate at which warm servers of like weight answer
   */
  public boolean hasSlowStartCapacity(double nowSeconds, double warmRequestsPerSecond) {
    return isWarm(nowSeconds) || slowStart.hasCapacity(nowSeconds, warmRequestsPerSecond);
  }

  /**
   * Takes in a sample of its load.
   *
   * @param sample 1 is the most that is fair
   * @param fairScore the fleet's usual score
   */
  public void recordLoad(double nowSeconds, double sample, double fairScore) {
    loadScore.record(nowSeconds, sample, fairScore);
  }

  /** Its recent load score; above 1 it is loaded more than is fair. */
  public double loadScore(double nowSeconds) {
    return loadScore.score(nowSeconds);
  }

  /** The part of its keys that it is offered for its load. */
  public double keyFraction(double nowSeconds) {
    return loadScore.keyFraction(nowSeconds);
  }

  /**
   * Whether the key is among those that the server is offered, while it gets but a part of them for
   * its load or its slow start: all load balancers then leave out the same keys.
   *
   * @param greatestKeyFraction of any server; fractions are relative to it
   */
  public boolean acceptsKey(double nowSeconds, long keyHash, double greatestKeyFraction) {
    double accepted =
        keyFraction(nowSeconds) / greatestKeyFraction * slowStart.keyFraction(nowSeconds);
    return accepted >= 1 || Hashing.fraction(keyHash ^ Hashing.mix(id)) < accepted;
  }

  /**
   * The part of its fetches that fails, comes late or is rejected.
   *
   * @param fleetLossRatio that of all servers, which holds where it has had few fetches lately
   */
  public double fetchLossRatio(double nowSeconds, double fleetLossRatio) {
    return fleetLossRatio
        + (fetchLossRatio - fleetLossRatio)
            * Math.exp((fetchedAtSeconds - nowSeconds) / LoadScore.FADE_SECONDS);
  }

  /** A fetch has ended there. */
  void recordFetch(double nowSeconds, boolean lost, double fleetLossRatio) {
    fetchLossRatio =
        fetchLossRatio(nowSeconds, fleetLossRatio) * (1 - FETCH_LOSS_GAIN_RATIO)
            + (lost ? FETCH_LOSS_GAIN_RATIO : 0);
    fetchedAtSeconds = nowSeconds;
  }

  /** An attempt goes to the server. */
  public void onSent() {
    inFlight++;
    slowStart.onSent();
    outlierDetector.onSent();
  }

  /**
   * An attempt has ended.
   *
   * @param idleTimeoutSeconds after which an idle connection is closed
   * @param failuresAreFew whether most servers serve what they get
   * @return whether it refused a connection and may yet be running
   */
  public boolean onAttemptEnded(
      double nowSeconds, Outcome outcome, double idleTimeoutSeconds, boolean failuresAreFew) {
    inFlight--;
    OutlierDetector.Finding finding =
        outlierDetector.onAttemptEnded(nowSeconds, outcome, idleTimeoutSeconds, failuresAreFew);
    if (finding == OutlierDetector.Finding.RESTARTED) {
      // Until the endpoint list gives its start, it counts as warming up from now on.
      slowStart.restart(nowSeconds, nowSeconds);
    }
    return finding == OutlierDetector.Finding.REFUSED_CONNECTION;
  }

  /** The idle connections to the server are closed. */
  void onConnectionsClosed() {
    outlierDetector.onConnectionsClosed();
  }
}
