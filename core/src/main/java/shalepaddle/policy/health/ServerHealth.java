package shalepaddle.policy.health;

import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.policy.hash.Hashing;

/**
 * This load balancer's view of one server: its line of the endpoint list, requests in flight, and
 * the state of {@link OutlierDetector}, {@link SlowStart} and {@link LoadScore}.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class ServerHealth {
  /** Weight of a new fetch in the moving average of fetch losses. */
  private static final double FETCH_LOSS_GAIN_RATIO = 0.15;

  private final long id;
  private final OutlierDetector outlierDetector = new OutlierDetector();
  private final SlowStart slowStart;
  private final LoadScore loadScore;
  private ServerEntry entry;
  private int inFlight;

  /** The server's last start according to the endpoint list. */
  private double listedStartSeconds = ServerStartTimes.LONG_AGO;

  private double fetchLossRatio;
  private double fetchedAtSeconds = Double.NEGATIVE_INFINITY;

  /** Creates the state of a server that was not listed before: warm and without failures. */
  public ServerHealth(ServerEntry entry, double nowSeconds, Settings settings) {
    this.id = entry.id();
    this.entry = entry;
    // The initial tokens differ between load balancers. If all began without tokens, many would
    // wait long and then send their first requests together.
    double instanceOffset = (double) settings.instanceNumber() / Math.max(1, settings.instances());
    this.slowStart =
        new SlowStart(
            settings.contract(), (Hashing.toFraction(id) + instanceOffset) % 1, nowSeconds);
    this.loadScore = new LoadScore(nowSeconds);
  }

  /** The server's id, the same at every load balancer. */
  public long id() {
    return id;
  }

  /** The server's line of the endpoint list. */
  public ServerEntry entry() {
    return entry;
  }

  /** This load balancer's attempts in flight at the server. */
  public int inFlight() {
    return inFlight;
  }

  /**
   * Applies the server's line of the endpoint list; after a new start the server's cache is empty.
   *
   * @param startSeconds the server's last start, in this load balancer's time
   */
  public void onListed(ServerEntry newEntry, double startSeconds, double nowSeconds) {
    if (startSeconds > listedStartSeconds) {
      listedStartSeconds = startSeconds;
      slowStart.restart(nowSeconds, startSeconds);
      outlierDetector.reset();
    }
    entry = newEntry;
  }

  /** Whether the server gets trial requests only, see {@link OutlierDetector}. */
  public boolean isEjected() {
    return outlierDetector.isEjected();
  }

  /** Whether an ejected server may get a trial request now. */
  public boolean isTrialDue(double nowSeconds) {
    return outlierDetector.isTrialDue(nowSeconds);
  }

  /** Whether the server has more than one consecutive failure, the last of them within a second. */
  boolean isFailingRecently(double nowSeconds) {
    return outlierDetector.isFailingRecently(nowSeconds);
  }

  /** Whether the server has more than one consecutive failure. */
  public boolean isFailingRepeatedly() {
    return outlierDetector.consecutiveFailures() > 1;
  }

  /** Whether one more failure would eject the server. */
  boolean isNearEjection() {
    return outlierDetector.consecutiveFailures() >= OutlierDetector.MAX_CONSECUTIVE_FAILURES - 1;
  }

  /** The fraction of its full capacity that the server has now: 1 once it is warm. */
  public double capacityRatio(double nowSeconds) {
    return slowStart.capacityRatio(nowSeconds);
  }

  /** Whether the server's slow start is over. */
  public boolean isWarm(double nowSeconds) {
    return capacityRatio(nowSeconds) >= 1;
  }

  /**
   * Whether slow start permits one more request.
   *
   * @param warmRequestsPerSecond the rate at which warm servers of the same weight answer
   */
  public boolean hasSlowStartCapacity(double nowSeconds, double warmRequestsPerSecond) {
    return isWarm(nowSeconds) || slowStart.hasCapacity(nowSeconds, warmRequestsPerSecond);
  }

  /**
   * Adds a sample of the server's load.
   *
   * @param sample the observed load; 1 is the highest fair load
   * @param fairScore the fleet's usual score
   */
  public void recordLoad(double nowSeconds, double sample, double fairScore) {
    loadScore.record(nowSeconds, sample, fairScore);
  }

  /** The server's recent load score; above 1, the server has more than a fair load. */
  public double loadScore(double nowSeconds) {
    return loadScore.score(nowSeconds);
  }

  /** The fraction of its keys that the server is offered at its load. */
  public double keyFraction(double nowSeconds) {
    return loadScore.keyFraction(nowSeconds);
  }

  /**
   * Whether the key is among those that the server is offered when its load or its slow start
   * reduces their number. All load balancers leave out the same keys.
   *
   * @param greatestKeyFraction the greatest key fraction of any server, to which fractions are
   *     relative
   */
  public boolean acceptsKey(double nowSeconds, long keyHash, double greatestKeyFraction) {
    double acceptedFraction =
        keyFraction(nowSeconds) / greatestKeyFraction * slowStart.keyFraction(nowSeconds);
    return acceptedFraction >= 1
        || Hashing.toFraction(keyHash ^ Hashing.mix(id)) < acceptedFraction;
  }

  /**
   * The fraction of the server's fetches that fail, are late or are rejected.
   *
   * @param fleetLossRatio the loss ratio of all servers, to which this one decays without fetches
   */
  public double fetchLossRatio(double nowSeconds, double fleetLossRatio) {
    return fleetLossRatio
        + (fetchLossRatio - fleetLossRatio)
            * Math.exp((fetchedAtSeconds - nowSeconds) / LoadScore.DECAY_SECONDS);
  }

  /**
   * Records the end of a fetch.
   *
   * @param isLost whether the fetch failed, was late or was rejected
   * @param fleetLossRatio the loss ratio of all servers
   */
  void recordFetch(double nowSeconds, boolean isLost, double fleetLossRatio) {
    fetchLossRatio =
        fetchLossRatio(nowSeconds, fleetLossRatio) * (1 - FETCH_LOSS_GAIN_RATIO)
            + (isLost ? FETCH_LOSS_GAIN_RATIO : 0);
    fetchedAtSeconds = nowSeconds;
  }

  /** Records that an attempt is sent to the server. */
  public void onSent() {
    inFlight++;
    slowStart.onSent();
    outlierDetector.onSent();
  }

  /**
   * Records the end of an attempt.
   *
   * @param idleTimeoutSeconds time after which an idle connection is closed
   * @param areMostServersHealthy whether at most a third of the servers fail repeatedly
   * @return whether the server refused a connection but may be running
   */
  public boolean onAttemptEnded(
      double nowSeconds,
      Outcome outcome,
      double idleTimeoutSeconds,
      boolean areMostServersHealthy) {
    inFlight--;
    OutlierDetector.Finding finding =
        outlierDetector.onAttemptEnded(
            nowSeconds, outcome, idleTimeoutSeconds, areMostServersHealthy);
    if (finding == OutlierDetector.Finding.RESTARTED) {
      // Slow start begins now; the endpoint list may give the actual start later.
      slowStart.restart(nowSeconds, nowSeconds);
    }
    return finding == OutlierDetector.Finding.REFUSED_CONNECTION;
  }

  /** Records that the idle connections to the server are closed. */
  void onConnectionsClosed() {
    outlierDetector.onConnectionsClosed();
  }
}
