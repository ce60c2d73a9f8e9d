package shalepaddle.policy;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** A request and its attempts: what rules 1 and 2 (one answer, no effect twice) are kept by. */
final class PendingRequest {
  /** One attempt. */
  static final class Attempt {
    final ServerHealth server;
    final ServerEntry entry;
    final double sentAt;
    private boolean out = true;
    private boolean mayHaveRun = true;

    Attempt(ServerHealth server, double sentAt) {
      this.server = server;
      this.entry = server.entry;
      this.sentAt = sentAt;
    }
  }

  final Request request;
  final Settings.ServiceClass type;
  final Settings.Limits limits;
  final long keyHash;
  final long serial;
  final double arrived;

  /** When its client stops waiting; later once somebody who waits longer has joined it. */
  double deadline;

  /** How many owners of the key's sequence share it, and with which of them to begin. */
  int homes = 1;

  int firstHome;

  /** How many jumps look for a server in the balancer's own zone before any may take it. */
  int localJumps;

  final List<Attempt> tries = new ArrayList<>(2);
  int out;
  boolean answered;
  boolean streaming;

  /** Whether it is held for a fetch. */
  boolean waiting;

  /** Whether it has been held for as long as it may be. */
  boolean impatient;

  /** Which attempt is a likely fetch, of what, and whether it counts among those in flight. */
  int fetchAttempt = -1;

  long fetchPair;
  boolean fetchCounted;

  PendingRequest(
      Request request,
      Settings.ServiceClass type,
      Settings.Limits limits,
      long serial,
      double now) {
    this.request = request;
    this.type = type;
    this.limits = limits;
    this.keyHash = ConsistentHashRing.hash(request.key() != null ? request.key() : request.id());
    this.serial = serial;
    this.arrived = now;
    this.deadline = now + request.budgetSeconds();
  }

  void sent(ServerHealth server, double now) {
    tries.add(new Attempt(server, now));
    out++;
  }

  /** Notes an attempt's end; false if it was not out. */
  boolean ended(int attempt, boolean provenNotRun) {
    if (!isOut(attempt)) {
      return false;
    }
    tries.get(attempt).out = false;
    tries.get(attempt).mayHaveRun = !provenNotRun;
    out--;
    return true;
  }

  boolean isOut(int attempt) {
    return attempt >= 0 && attempt < tries.size() && tries.get(attempt).out;
  }

  /** The attempt number to hash the key with at the given jump: its homes in turn, then onward. */
  int hashAttempt(int jump) {
    if (jump < localJumps) {
      return (firstHome + jump) % localJumps;
    }
    int onward = jump - localJumps;
    return onward < homes ? (firstHome + onward) % homes : onward;
  }

  /** Rule 2: seconds in which one more attempt may go to this server, 0 for never. */
  double sendWithin(ServerHealth server, double now) {
    boolean over = answered || streaming || tries.size() >= limits.maxAttempts();
    boolean may = !over && (out == 0 || limits.allowsParallelAttempts());
    Attempt first = firstThatMayHaveRun();
    boolean held = first == null || type.deduplicationScope().spans(first.entry, server.entry);
    return may && (held || type.idempotency() == Settings.Idempotency.IDEMPOTENT)
        ? harmlessFor(first, now)
        : 0;
  }

  /** Rule 2: whether the client may be told that a new try, anywhere, does no harm. */
  boolean mayRefuse(double now) {
    Attempt first = firstThatMayHaveRun();
    boolean bound =
        type.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
            && type.deduplicationScope() != Settings.DeduplicationScope.ALL;
    return first == null || (!bound && harmlessFor(first, now) > 0);
  }

  /** Seconds in which the group of servers drops repeats, with some to spare for their way. */
  private double harmlessFor(Attempt first, double now) {
    if (first == null || type.idempotency() == Settings.Idempotency.IDEMPOTENT) {
      return Double.POSITIVE_INFINITY;
    }
    double until = first.sentAt + type.idempotencyWindowSeconds() - limits.connectTimeoutSeconds();
    return type.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
        ? Math.max(0, until - now)
        : 0;
  }

  private Attempt firstThatMayHaveRun() {
    return tries.stream().filter(a -> a.mayHaveRun).findFirst().orElse(null);
  }
}
