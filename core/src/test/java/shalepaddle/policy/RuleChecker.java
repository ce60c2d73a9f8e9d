package shalepaddle.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/**
 * Checks a router's actions against four rules and records violations, each with the name of the
 * rule.
 *
 * <ol>
 *   <li>"One answer": each request gets exactly one final answer, by its deadline.
 *   <li>"No double effect": no request takes effect twice, and the limits on its attempts are
 *       respected.
 *   <li>"Ready servers": attempts are only sent to listed servers that are ready.
 *   <li>"Slow start": no server in slow start is overloaded.
 * </ol>
 */
final class RuleChecker extends PolicyFixture.Recorder {
  /** The state of an attempt, independent of the router's own state. */
  static final class Attempt {
    final long server;
    final double sentAtSeconds;
    boolean isInFlight = true;
    boolean mayHaveRun = true;

    Attempt(long server, double sentAt) {
      this.server = server;
      this.sentAtSeconds = sentAt;
    }
  }

  /** The state of a request, independent of the router's own state. */
  static final class TrackedRequest {
    final Request request;
    final Settings.ServiceClass serviceClass;
    final double deadlineSeconds;
    final List<Attempt> attempts = new ArrayList<>();
    boolean isCompleted;

    TrackedRequest(Request request, Settings.ServiceClass serviceClass, double deadline) {
      this.request = request;
      this.serviceClass = serviceClass;
      this.deadlineSeconds = deadline;
    }
  }

  final Settings settings;
  final Map<String, TrackedRequest> requests = new LinkedHashMap<>();
  final Map<Long, ServerEntry> servers = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<Long, List<Double>> sendsInSlowStart = new HashMap<>();
  double now;

  /** Attempts per second that a warm server can serve. */
  double warmSendsPerSecond = Double.POSITIVE_INFINITY;

  RuleChecker(Settings settings) {
    this.settings = settings;
  }

  void onRequestArrived(Request request) {
    Settings.ServiceClass serviceClass =
        settings.services().stream()
            .filter(s -> s.name().equals(request.serviceClass()))
            .findFirst()
            .orElseThrow();
    requests.put(
        request.id(), new TrackedRequest(request, serviceClass, now + request.budgetSeconds()));
  }

  void onAttemptEnded(String id, int attempt, Outcome.Result result) {
    Attempt a = requests.get(id).attempts.get(attempt);
    a.isInFlight = false;
    a.mayHaveRun = !result.provesNotRun();
    if (result == Outcome.Result.OK) {
      requests.get(id).isCompleted = true;
    }
  }

  void onClientDisconnected(String id) {
    requests.get(id).isCompleted = true;
  }

  /** Records a violation for each request without an answer by its deadline. */
  void checkDeadlines() {
    for (TrackedRequest t : requests.values()) {
      if (!t.isCompleted && now > t.deadlineSeconds + settings.contract().responseGraceSeconds()) {
        violations.add("one answer: no answer for " + t.request.id());
        t.isCompleted = true;
      }
    }
  }

  @Override
  public void send(String requestId, long server, double withinSeconds) {
    super.send(requestId, server, withinSeconds);
    TrackedRequest t = requests.get(requestId);
    ServerEntry target = servers.get(server);
    if (t.isCompleted) {
      violations.add("one answer: sent after its final answer: " + requestId);
    }
    if (target == null || target.state() != ServerEntry.State.READY) {
      violations.add("ready servers: sent to a server that is not ready");
    }
    if (t.attempts.size() >= settings.limits().maxAttempts()) {
      violations.add("no double effect: too many attempts");
    }
    Attempt firstAttempt = null;
    for (Attempt a : t.attempts) {
      if (a.isInFlight && !settings.limits().allowsParallelAttempts()) {
        violations.add("no double effect: two attempts in flight at the same time");
      }
      if (firstAttempt == null && (a.isInFlight || a.mayHaveRun)) {
        firstAttempt = a;
      }
    }
    if (firstAttempt != null && target != null) {
      if (t.serviceClass.idempotency() == Settings.Idempotency.NOT_IDEMPOTENT) {
        violations.add("no double effect: unsafe request sent again");
      } else if (t.serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY) {
        ServerEntry firstServer = servers.get(firstAttempt.server);
        boolean isSameScope =
            switch (t.serviceClass.deduplicationScope()) {
              case ALL -> true;
              case ZONE -> firstServer != null && firstServer.zone().equals(target.zone());
              case CELL -> firstServer != null && firstServer.cell() == target.cell();
            };
        if (!isSameScope
            || now > firstAttempt.sentAtSeconds + t.serviceClass.idempotencyWindowSeconds()) {
          violations.add(
              "no double effect: keyed request sent outside its deduplication scope or window");
        }
        if (now + withinSeconds
            > firstAttempt.sentAtSeconds + t.serviceClass.idempotencyWindowSeconds()) {
          violations.add(
              "no double effect: keyed request may be written after its deduplication window");
        }
      }
    }
    t.attempts.add(new Attempt(server, now));
    double slowStartSeconds = settings.contract().slowStartSeconds();
    if (target != null
        && target.startedAtSeconds() > 0
        && now - target.startedAtSeconds() < slowStartSeconds) {
      List<Double> sends = sendsInSlowStart.computeIfAbsent(server, s -> new ArrayList<>());
      sends.add(now);
      double windowSeconds = settings.contract().overloadSeconds();
      double minCapacityRatio = settings.contract().slowStartMinRatio();
      double capacityRatio =
          minCapacityRatio
              + (1 - minCapacityRatio) * (now - target.startedAtSeconds()) / slowStartSeconds;
      long recentSends = sends.stream().filter(at -> at > now - windowSeconds).count();
      double permittedSends =
          settings.contract().overloadRatio() * capacityRatio * warmSendsPerSecond * windowSeconds;
      if (recentSends > permittedSends + 2) {
        violations.add("slow start: server overloaded in slow start");
      }
    }
  }

  @Override
  public void reject(String requestId, double retryAfterSeconds) {
    super.reject(requestId, retryAfterSeconds);
    TrackedRequest t = recordAnswer(requestId);
    Attempt firstAttempt =
        t.attempts.stream().filter(a -> a.isInFlight || a.mayHaveRun).findFirst().orElse(null);
    boolean isRetrySafe =
        firstAttempt == null
            || t.serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT
            || (t.serviceClass.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
                && t.serviceClass.deduplicationScope() == Settings.DeduplicationScope.ALL
                && now < firstAttempt.sentAtSeconds + t.serviceClass.idempotencyWindowSeconds());
    if (!isRetrySafe) {
      violations.add("no double effect: rejected a request that may have run");
    }
  }

  @Override
  public void fail(String requestId) {
    super.fail(requestId);
    recordAnswer(requestId);
  }

  /** Marks a request as answered; records a violation if it was answered before. */
  private TrackedRequest recordAnswer(String requestId) {
    TrackedRequest t = requests.get(requestId);
    if (t.isCompleted) {
      violations.add("one answer: answered twice: " + requestId);
    }
    t.isCompleted = true;
    return t;
  }
}
