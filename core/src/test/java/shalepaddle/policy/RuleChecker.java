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

/** Checks a router's actions against the four rules and records every violation. */
final class RuleChecker extends PolicyFixture.Recorder {
  /** An attempt as the simulated fleet knows it. */
  static final class Attempt {
    final long server;
    final double sentAt;
    boolean out = true;
    boolean mayHaveRun = true;

    Attempt(long server, double sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  /** A request as the simulated fleet knows it. */
  static final class Tracked {
    final Request request;
    final Settings.ServiceClass type;
    final double deadline;
    final List<Attempt> attempts = new ArrayList<>();
    boolean over;

    Tracked(Request request, Settings.ServiceClass type, double deadline) {
      this.request = request;
      this.type = type;
      this.deadline = deadline;
    }
  }

  final Settings settings;
  final Map<String, Tracked> requests = new LinkedHashMap<>();
  final Map<Long, ServerEntry> servers = new HashMap<>();
  final List<String> violations = new ArrayList<>();
  final Map<Long, List<Double>> coldSends = new HashMap<>();
  double now;

  /** Sends a second that a warm server takes. */
  double warmRate = Double.POSITIVE_INFINITY;

  RuleChecker(Settings settings) {
    this.settings = settings;
  }

  void arrives(Request request) {
    Settings.ServiceClass type =
        settings.services().stream()
            .filter(s -> s.name().equals(request.serviceClass()))
            .findFirst()
            .orElseThrow();
    requests.put(request.id(), new Tracked(request, type, now + request.budgetSeconds()));
  }

  void ends(String id, int attempt, Outcome.Result result) {
    Attempt a = requests.get(id).attempts.get(attempt);
    a.out = false;
    a.mayHaveRun = !result.provesNotRun();
    if (result == Outcome.Result.OK) {
      requests.get(id).over = true;
    }
  }

  void disconnects(String id) {
    requests.get(id).over = true;
  }

  /** Records requests without an answer in time. */
  void checkDeadlines() {
    for (Tracked t : requests.values()) {
      if (!t.over && now > t.deadline + settings.contract().responseGraceSeconds()) {
        violations.add("rule 1: no answer for " + t.request.id());
        t.over = true;
      }
    }
  }

  @Override
  public void send(String requestId, long server, double within) {
    super.send(requestId, server, within);
    Tracked t = requests.get(requestId);
    ServerEntry to = servers.get(server);
    if (t.over) {
      violations.add("rule 1: sent after its end " + requestId);
    }
    if (to == null || to.state() != ServerEntry.State.READY) {
      violations.add("rule 3: sent to a server that is not ready");
    }
    if (t.attempts.size() >= settings.limits().maxAttempts()) {
      violations.add("rule 2: too many attempts");
    }
    Attempt first = null;
    for (Attempt a : t.attempts) {
      if (a.out && !settings.limits().allowsParallelAttempts()) {
        violations.add("rule 2: two attempts out together");
      }
      if (first == null && (a.out || a.mayHaveRun)) {
        first = a;
      }
    }
    if (first != null && to != null) {
      if (t.type.idempotency() == Settings.Idempotency.NOT_IDEMPOTENT) {
        violations.add("rule 2: unsafe request sent again");
      } else if (t.type.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY) {
        ServerEntry was = servers.get(first.server);
        boolean same =
            switch (t.type.deduplicationScope()) {
              case ALL -> true;
              case ZONE -> was != null && was.zone().equals(to.zone());
              case CELL -> was != null && was.cell() == to.cell();
            };
        if (!same || now > first.sentAt + t.type.idempotencyWindowSeconds()) {
          violations.add("rule 2: keyed request sent where or when repeats are not dropped");
        }
        if (now + within > first.sentAt + t.type.idempotencyWindowSeconds()) {
          violations.add("rule 2: keyed request that may wait until repeats are not dropped");
        }
      }
    }
    t.attempts.add(new Attempt(server, now));
    double slowStartSeconds = settings.contract().slowStartSeconds();
    if (to != null && to.startedAtSeconds() > 0 && now - to.startedAtSeconds() < slowStartSeconds) {
      List<Double> sends = coldSends.computeIfAbsent(server, s -> new ArrayList<>());
      sends.add(now);
      double window = settings.contract().overloadSeconds();
      double from = settings.contract().slowStartMinRatio();
      double warmth = from + (1 - from) * (now - to.startedAtSeconds()) / slowStartSeconds;
      long recent = sends.stream().filter(at -> at > now - window).count();
      if (recent > settings.contract().overloadRatio() * warmth * warmRate * window + 2) {
        violations.add("rule 4: server overloaded in slow start");
      }
    }
  }

  @Override
  public void reject(String requestId, double retryAfter) {
    super.reject(requestId, retryAfter);
    Tracked t = answered(requestId);
    Attempt first = t.attempts.stream().filter(a -> a.out || a.mayHaveRun).findFirst().orElse(null);
    boolean harmless =
        first == null
            || t.type.idempotency() == Settings.Idempotency.IDEMPOTENT
            || (t.type.idempotency() == Settings.Idempotency.IDEMPOTENT_WITH_KEY
                && t.type.deduplicationScope() == Settings.DeduplicationScope.ALL
                && now < first.sentAt + t.type.idempotencyWindowSeconds());
    if (!harmless) {
      violations.add("rule 2: rejected what may have run");
    }
  }

  @Override
  public void fail(String requestId) {
    super.fail(requestId);
    answered(requestId);
  }

  private Tracked answered(String requestId) {
    Tracked t = requests.get(requestId);
    if (t.over) {
      violations.add("rule 1: answered twice " + requestId);
    }
    t.over = true;
    return t;
  }
}
