package shalepaddle.policy;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Builds small worlds for tests: settings, servers, and a recorder of actions. */
public final class PolicyFixture {
  /** One recorded action. */
  record Act(String what, String id, long number, double value) {}

  /** Writes every action down. */
  static class Recorder implements RoutingActions {
    final List<Act> acts = new ArrayList<>();

    @Override
    public void send(String requestId, long server, double within) {
      acts.add(new Act("send", requestId, server, within));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      acts.add(new Act("cancel", requestId, attempt, 0));
    }

    @Override
    public void reject(String requestId, double retryAfter) {
      acts.add(new Act("reject", requestId, 0, retryAfter));
    }

    @Override
    public void fail(String requestId) {
      acts.add(new Act("fail", requestId, 0, 0));
    }

    @Override
    public void scheduleTimer(long token, double delay) {
      acts.add(new Act("scheduleTimer", "", token, delay));
    }

    @Override
    public void subscribe(boolean on) {
      acts.add(new Act("subscribe", "", on ? 1 : 0, 0));
    }

    @Override
    public void closeIdleConnections(long server) {
      acts.add(new Act("closeIdle", "", server, 0));
    }

    List<Act> of(String what) {
      return acts.stream().filter(a -> a.what().equals(what)).toList();
    }
  }

  private PolicyFixture() {}

  public static Settings settings(boolean asks, int maxAttempts, boolean parallel) {
    return settings(0, 4, asks, maxAttempts, parallel);
  }

  /** Those of one of so many instances. */
  public static Settings settings(
      int number, int instances, boolean asks, int maxAttempts, boolean parallel) {
    return settings(
        number,
        instances,
        asks,
        maxAttempts,
        parallel,
        List.of(
            service("safe", Settings.Idempotency.IDEMPOTENT, Settings.DeduplicationScope.ALL),
            service(
                "all", Settings.Idempotency.IDEMPOTENT_WITH_KEY, Settings.DeduplicationScope.ALL),
            service(
                "zone", Settings.Idempotency.IDEMPOTENT_WITH_KEY, Settings.DeduplicationScope.ZONE),
            service(
                "cell", Settings.Idempotency.IDEMPOTENT_WITH_KEY, Settings.DeduplicationScope.CELL),
            service(
                "unsafe", Settings.Idempotency.NOT_IDEMPOTENT, Settings.DeduplicationScope.ALL)));
  }

  /** Those with these classes. */
  public static Settings settings(
      int number,
      int instances,
      boolean asks,
      int maxAttempts,
      boolean parallel,
      List<Settings.ServiceClass> services) {
    return new Settings(
        number % 2 == 0 ? "a" : "b",
        List.of("a", "b"),
        List.of("box"),
        number,
        instances,
        asks,
        true,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(maxAttempts, parallel, true, false, false, false, 1, 0.1, 60, 32),
        new Settings.Contract(0.02, 10, 2, 0.1, 20, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        services,
        List.of(),
        1,
        0.005);
  }

  public static Settings.ServiceClass service(
      String name, Settings.Idempotency effect, Settings.DeduplicationScope group) {
    return new Settings.ServiceClass(name, 0.5, 0, 2, 1, 0.2, effect, group, 1, false);
  }

  public static ServerEntry server(long id) {
    return server(id, ServerEntry.State.READY, 0);
  }

  public static ServerEntry server(long id, ServerEntry.State state, double startedAt) {
    return new ServerEntry(id, id % 2 == 0 ? "a" : "b", "box", (int) id % 3, state, 1, startedAt);
  }

  public static MembershipUpdate list(MembershipUpdate.Kind kind, List<ServerEntry> entries) {
    return new MembershipUpdate(kind, 1, entries);
  }

  public static MembershipUpdate fleet(int size) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = 1; id <= size; id++) {
      entries.add(server(id));
    }
    return list(MembershipUpdate.Kind.CACHED, entries);
  }

  public static Request request(String id, String key, String type, double budget) {
    return new Request(id, key, type, null, budget, 0, 0, false, !type.equals("safe"));
  }

  public static Outcome outcome(String id, int attempt, long server, Outcome.Result result) {
    return new Outcome(
        id,
        attempt,
        server,
        result,
        0.05,
        result == Outcome.Result.OK,
        result == Outcome.Result.OK ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.NONE,
        null);
  }
}
