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
 * A request without a final answer, or with attempts still in flight, and all of its attempts. It
 * keeps two rules of the contract: every request gets one final answer, and no request takes effect
 * twice.
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

  /** Whether the final answer is still to come. */
  private enum State {
    OPEN,
    /** A streamed answer has begun and goes on without a deadline. */
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
  private int localJumps;
  private int attemptsInFlight;

  /** A request that has just come; it follows the limits that hold now. */
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

  /** Identifies the request in timer tokens: even, above 0 and unique within its router. */
  long serial() {
    return serial;
  }

  double arrivedAtSeconds() {
    return arrivedAtSeconds;
  }

  /** The hash of the key; of the id where the request names no key. */
  @Override
  public long keyHash() {
    return keyHash;
  }

  @Override
  public boolean isWrite() {
    return request.write();
  }

  @Override
  public void assignReplicas(int replicas, int localJumps, int firstReplica) {
    this.replicas = replicas;
    this.localJumps = localJumps;
    this.firstReplica = firstReplica;
  }

  /** How many jumps look for a server in the own zone before any server may take it. */
  int localJumps() {
    return localJumps;
  }

  /** The attempt number to hash the key with at a jump: its replicas in turn, then onward. */
  int hashAttempt(int jump) {
    if (jump < localJumps) {
      return (firstReplica + jump) % localJumps;
    }
    int onward = jump - localJumps;
    return onward < replicas ? (firstReplica + onward) % replicas : onward;
  }

  /** When its client stops waiting. */
  double deadlineSeconds() {
    return deadlineSeconds;
  }

  /** Another client, which waits until then, shares the answer of this request. */
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

  /** The final answer is given, or nobody waits for it. */
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

  /** An attempt has ended; false if it was not in flight. */
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
   * Seconds in which one more attempt may go to this server without taking effect twice; 0 if it
   * must not be sent.
   */
  double sendWithinSeconds(ServerHealth server, double nowSeconds) {
    boolean isClosed = state != State.OPEN || attempts.size() >= limits.maxAttempts();
    if (isClosed || (attemptsInFlight > 0 && !limits.allowsParallelAttempts())) {
      return 0;
    }
    Attempt first = firstAttemptThatMayHaveRun();
    boolean isDeduplicated =
        first == null || serviceClass.deduplicationScope().spans(first.entry, server.entry());
    return isDeduplicated || isIdempotent() ? safeToRepeatForSeconds(first, nowSeconds) : 0;
  }

  /**
   * Whether the client may be told that a retry, at any load balancer, does not take effect twice.
   */
  boolean mayReject(double nowSeconds) {
    Attempt first = firstAttemptThatMayHaveRun();
    boolean isBoundToServers =
        serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
            && serviceClass.deduplicationScope() != Settings.DeduplicationScope.ALL;
    return first == null || (!isBoundToServers && safeToRepeatForSeconds(first, nowSeconds) > 0);
  }

  boolean isIdempotent() {
    return serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT;
  }

  /**
   * Seconds in which servers still recognize a repeated idempotency key, which they remember from
   * the first attempt on, less the time to connect. Infinite if no attempt may have run.
   */
  private double safeToRepeatForSeconds(Attempt first, double nowSeconds) {
    if (first == null || isIdempotent()) {
      return Double.POSITIVE_INFINITY;
    }
    double until =
        first.sentAtSeconds
            + serviceClass.idempotencyWindowSeconds()
            - limits.connectTimeoutSeconds();
    return serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
        ? Math.max(0, until - nowSeconds)
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
