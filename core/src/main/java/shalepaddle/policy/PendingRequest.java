package shalepaddle.policy;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.policy.admission.FetchCandidate;
import shalepaddle.policy.hash.Hashing;
import shalepaddle.policy.health.ServerHealth;
import shalepaddle.policy.placement.HotKeyReplication;

/**
 * A request that has no final answer yet or still has attempts in flight, with all of its attempts.
 * Enforces two guarantees to clients: every request gets exactly one final answer, and no request
 * takes effect twice.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
final class PendingRequest extends FetchCandidate implements HotKeyReplication.Target {
  /** One attempt at a server. */
  private static final class Attempt {
    private final ServerHealth server;
    private final ServerEntry entry;
    private final double sentAtSeconds;
    private boolean isInFlight = true;
    private boolean mayHaveRun = true;

    Attempt(ServerHealth server, double sentAtSeconds) {
      this.server = server;
      this.entry = server.entry();
      this.sentAtSeconds = sentAtSeconds;
    }
  }

  /** The progress of the request's final answer. */
  private enum State {
    OPEN,
    /** A streamed answer has begun; the deadline no longer applies. */
    STREAMING,
    ANSWERED
  }

  private final Request request;
  private final Settings.ServiceClass serviceClass;
  private final Settings.Limits limits;
  private final long keyHash;
  private final long serial;
  private final double arrivedAtSeconds;
  private final List<Attempt> attempts = new ArrayList<>(2);
  private State state = State.OPEN;
  private double deadlineSeconds;
  private int replicas = 1;
  private int firstReplica;
  private int ownZoneJumps;
  private int attemptsInFlight;

  /** Creates a request that arrives now; later changes of the limits do not affect it. */
  PendingRequest(
      Request request,
      Settings.ServiceClass serviceClass,
      Settings.Limits limits,
      long serial,
      double nowSeconds) {
    this.request = request;
    this.serviceClass = serviceClass;
    this.limits = limits;
    this.keyHash = Hashing.ofText(request.key() != null ? request.key() : request.id());
    this.serial = serial;
    this.arrivedAtSeconds = nowSeconds;
    this.deadlineSeconds = nowSeconds + request.budgetSeconds();
  }

  Request request() {
    return request;
  }

  String id() {
    return request.id();
  }

  Settings.ServiceClass serviceClass() {
    return serviceClass;
  }

  /** The number that identifies the request in timer tokens: even, above 0, unique per router. */
  long serial() {
    return serial;
  }

  double arrivedAtSeconds() {
    return arrivedAtSeconds;
  }

  /** The hash of the key, or of the request id if the request has no key. */
  @Override
  public long keyHash() {
    return keyHash;
  }

  @Override
  public boolean isWrite() {
    return request.isWrite();
  }

  @Override
  public void assignReplicas(int replicas, int ownZoneJumps, int firstReplica) {
    this.replicas = replicas;
    this.ownZoneJumps = ownZoneJumps;
    this.firstReplica = firstReplica;
  }

  /** The number of ring jumps restricted to servers of the own zone, before all zones are tried. */
  int ownZoneJumps() {
    return ownZoneJumps;
  }

  /**
   * The attempt number to hash the key with at a ring jump: first the key's replicas in turn, then
   * the later positions of its hash sequence.
   */
  int hashAttempt(int ringJump) {
    if (ringJump < ownZoneJumps) {
      return (firstReplica + ringJump) % ownZoneJumps;
    }
    int jumpInAllZones = ringJump - ownZoneJumps;
    return jumpInAllZones < replicas ? (firstReplica + jumpInAllZones) % replicas : jumpInAllZones;
  }

  /** The time at which the client stops waiting. */
  double deadlineSeconds() {
    return deadlineSeconds;
  }

  /** Extends the deadline to that of another client that shares the answer. */
  void extendDeadline(double untilSeconds) {
    deadlineSeconds = Math.max(deadlineSeconds, untilSeconds);
  }

  @Override
  public boolean isAnswered() {
    return state == State.ANSWERED;
  }

  boolean isStreaming() {
    return state == State.STREAMING;
  }

  void startStreaming() {
    if (state == State.OPEN) {
      state = State.STREAMING;
    }
  }

  /** Marks the request as answered, or as abandoned by its client. */
  void markAnswered() {
    state = State.ANSWERED;
  }

  boolean hasAttemptInFlight() {
    return attemptsInFlight > 0;
  }

  int attemptCount() {
    return attempts.size();
  }

  /** The server of an attempt. */
  ServerHealth server(int attempt) {
    return attempts.get(attempt).server;
  }

  boolean wasSentTo(ServerHealth server) {
    for (Attempt attempt : attempts) {
      if (attempt.server == server) {
        return true;
      }
    }
    return false;
  }

  boolean isInFlight(int attempt) {
    return attempt >= 0 && attempt < attempts.size() && attempts.get(attempt).isInFlight;
  }

  void onSent(ServerHealth server, double nowSeconds) {
    attempts.add(new Attempt(server, nowSeconds));
    attemptsInFlight++;
  }

  /** Records the end of an attempt; returns false if it was not in flight. */
  boolean onAttemptEnded(int attempt, boolean provenNotRun) {
    if (!isInFlight(attempt)) {
      return false;
    }
    attempts.get(attempt).isInFlight = false;
    attempts.get(attempt).mayHaveRun = !provenNotRun;
    attemptsInFlight--;
    return true;
  }

  /**
   * The number of seconds during which another attempt may be sent to this server without the
   * request taking effect twice; 0 if none may be sent.
   */
  double sendWithinSeconds(ServerHealth server, double nowSeconds) {
    boolean isClosed = state != State.OPEN || attempts.size() >= limits.maxAttempts();
    if (isClosed || (attemptsInFlight > 0 && !limits.allowsParallelAttempts())) {
      return 0;
    }
    Attempt firstAttempt = firstAttemptThatMayHaveRun();
    boolean isDeduplicated =
        firstAttempt == null
            || serviceClass.deduplicationScope().spans(firstAttempt.entry, server.entry());
    return isDeduplicated || isIdempotent() ? remainingRepeatSeconds(firstAttempt, nowSeconds) : 0;
  }

  /**
   * Whether the request may be rejected: a rejection assures the client that a retry, at any load
   * balancer, does not take effect twice.
   */
  boolean mayReject(double nowSeconds) {
    Attempt firstAttempt = firstAttemptThatMayHaveRun();
    boolean isBoundToServers =
        serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
            && serviceClass.deduplicationScope() != Settings.DeduplicationScope.ALL;
    return firstAttempt == null
        || (!isBoundToServers && remainingRepeatSeconds(firstAttempt, nowSeconds) > 0);
  }

  boolean isIdempotent() {
    return serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT;
  }

  /**
   * The number of seconds during which servers still recognize a repeated idempotency key. Their
   * window starts with the first attempt; the time to connect is subtracted. Infinite if no attempt
   * may have run.
   */
  private double remainingRepeatSeconds(Attempt firstAttempt, double nowSeconds) {
    if (firstAttempt == null || isIdempotent()) {
      return Double.POSITIVE_INFINITY;
    }
    double untilSeconds =
        firstAttempt.sentAtSeconds
            + serviceClass.idempotencyWindowSeconds()
            - limits.connectTimeoutSeconds();
    return serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
        ? Math.max(0, untilSeconds - nowSeconds)
        : 0;
  }

  private Attempt firstAttemptThatMayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun) {
        return attempt;
      }
    }
    return null;
  }
}
