package shalepaddle.policy;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Test fixtures: settings, servers, requests and outcomes, and a recorder of actions. */
public final class PolicyFixture {
  /**
   * A recorded action.
   *
   * @param name the name of the called method
   * @param requestId the request id, empty if the action has none
   * @param numericArgument the server id, attempt number or timer token, by the kind of action
   * @param seconds the time limit, Retry-After or delay in seconds, by the kind of action
   */
  record RecordedAction(String name, String requestId, long numericArgument, double seconds) {}

  /** Records every action. */
  static class Recorder implements RoutingActions {
    final List<RecordedAction> recorded = new ArrayList<>();

    @Override
    public void send(String requestId, long server, double withinSeconds) {
      recorded.add(new RecordedAction("send", requestId, server, withinSeconds));
    }

    @Override
    public void cancel(String requestId, int attempt) {
      recorded.add(new RecordedAction("cancel", requestId, attempt, 0));
    }

    @Override
    public void reject(String requestId, double retryAfterSeconds) {
      recorded.add(new RecordedAction("reject", requestId, 0, retryAfterSeconds));
    }

    @Override
    public void fail(String requestId) {
      recorded.add(new RecordedAction("fail", requestId, 0, 0));
    }

    @Override
    public void scheduleTimer(long token, double delaySeconds) {
      recorded.add(new RecordedAction("scheduleTimer", "", token, delaySeconds));
    }

    @Override
    public void subscribe(boolean on) {
      recorded.add(new RecordedAction("subscribe", "", on ? 1 : 0, 0));
    }

    @Override
    public void closeIdleConnections(long server) {
      recorded.add(new RecordedAction("closeIdle", "", server, 0));
    }

    /** Returns the recorded actions with this name. */
    List<RecordedAction> named(String name) {
      return recorded.stream().filter(act -> act.name().equals(name)).toList();
    }
  }

  private PolicyFixture() {}

  /** Returns the settings of the first of four instances. */
  public static Settings settings(
      boolean pollsEndpointList, int maxAttempts, boolean allowsParallelAttempts) {
    return settings(0, 4, pollsEndpointList, maxAttempts, allowsParallelAttempts);
  }

  /** Returns the settings of one of several instances, with five service classes. */
  public static Settings settings(
      int instanceNumber,
      int instances,
      boolean pollsEndpointList,
      int maxAttempts,
      boolean allowsParallelAttempts) {
    return settings(
        instanceNumber,
        instances,
        pollsEndpointList,
        maxAttempts,
        allowsParallelAttempts,
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

  /** Returns the settings of one of several instances, with the given service classes. */
  public static Settings settings(
      int instanceNumber,
      int instances,
      boolean pollsEndpointList,
      int maxAttempts,
      boolean allowsParallelAttempts,
      List<Settings.ServiceClass> services) {
    return new Settings(
        instanceNumber % 2 == 0 ? "a" : "b",
        List.of("a", "b"),
        List.of("box"),
        instanceNumber,
        instances,
        pollsEndpointList,
        true,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(
            maxAttempts, allowsParallelAttempts, true, false, false, false, 1, 0.1, 60, 32),
        new Settings.Contract(0.02, 10, 2, 0.1, 20, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        services,
        List.of(),
        1,
        0.005);
  }

  public static Settings.ServiceClass service(
      String name, Settings.Idempotency idempotency, Settings.DeduplicationScope scope) {
    return new Settings.ServiceClass(name, 0.5, 0, 2, 1, 0.2, idempotency, scope, 1, false);
  }

  public static ServerEntry server(long id) {
    return server(id, ServerEntry.State.READY, 0);
  }

  public static ServerEntry server(long id, ServerEntry.State state, double startedAtSeconds) {
    return new ServerEntry(
        id, id % 2 == 0 ? "a" : "b", "box", (int) id % 3, state, 1, startedAtSeconds);
  }

  public static MembershipUpdate membershipUpdate(
      MembershipUpdate.Kind kind, List<ServerEntry> entries) {
    return new MembershipUpdate(kind, 1, entries);
  }

  public static MembershipUpdate fleet(int size) {
    List<ServerEntry> entries = new ArrayList<>();
    for (long id = 1; id <= size; id++) {
      entries.add(server(id));
    }
    return membershipUpdate(MembershipUpdate.Kind.CACHED, entries);
  }

  /** Returns a request; it is a read if its class is "safe", otherwise a write. */
  public static Request request(String id, String key, String serviceClass, double budgetSeconds) {
    return new Request(
        id, key, serviceClass, null, budgetSeconds, 0, 0, false, !serviceClass.equals("safe"));
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
