package shalepaddle.benchmarks;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.policy.RequestRouter;
import shalepaddle.policy.RoutingActions;

/**
 * What the decisions on one read take, from its arrival to its one outcome, with 64 others open, as
 * servers grow in number: for keys that the servers hold, and for keys that nobody has asked for.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionCost {
  private static final int KEYS = 5000;
  private static final int OPEN = 64;

  /** Seconds between requests: 20,000 a second. */
  private static final double GAP = 5e-5;

  /** How many servers are ready. */
  @Param({"8", "34", "1000"})
  public int servers;

  /** Whether servers hold what is asked for: {@code held}, or {@code missing}. */
  @Param({"held", "missing"})
  public String keys;

  private final String[] ids = new String[OPEN];
  private final long[] sentTo = new long[OPEN];
  private RequestRouter balancer;
  private int next;
  private double now;
  private int slot;

  /** A balancer that has seen each key of those that are held. */
  @Setup(Level.Trial)
  public void start() {
    balancer = new RequestRouter(settings(), 1, new Sent());
    List<ServerEntry> list = new ArrayList<>();
    for (long id = 1; id <= servers; id++) {
      list.add(new ServerEntry(id, "a", "m", 0, ServerEntry.State.READY, 1, 0));
    }
    balancer.onMembershipUpdate(now, new MembershipUpdate(MembershipUpdate.Kind.FULL, 1, list));
    for (int i = 0; i < OPEN; i++) {
      ask(i);
    }
    for (int i = 0; i < 2 * KEYS; i++) {
      read();
    }
  }

  private static Settings settings() {
    Settings.ServiceClass read =
        new Settings.ServiceClass(
            "read",
            0.75,
            0,
            2,
            2,
            0.3,
            Settings.Idempotency.IDEMPOTENT,
            Settings.DeduplicationScope.ALL,
            0,
            false);
    return new Settings(
        "a",
        List.of("a"),
        List.of("m"),
        0,
        1,
        false,
        false,
        Settings.Weights.NONE,
        new Settings.CacheMode(false, null, 0, 0),
        new Settings.Limits(3, true, true, false, false, false, 1, 0.15, 60, 32),
        new Settings.Contract(0.05, 10, 2, 0.1, 1, 3, 2),
        new Settings.Prices(0, 0, 0, 0, 0, 0, 0, 0, 0),
        List.of(read),
        List.of(),
        1,
        0.001);
  }

  /** Notes where the request of the present slot goes. */
  private final class Sent implements RoutingActions {
    @Override
    public void send(String requestId, long server, double within) {
      sentTo[slot] = server;
    }

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void reject(String requestId, double retryAfter) {
      sentTo[slot] = 0;
    }

    @Override
    public void fail(String requestId) {
      sentTo[slot] = 0;
    }

    @Override
    public void scheduleTimer(long token, double delay) {}

    @Override
    public void subscribe(boolean on) {}

    @Override
    public void closeIdleConnections(long server) {}
  }

  private void ask(int place) {
    slot = place;
    sentTo[place] = 0;
    now += GAP;
    int number = next++;
    ids[place] = "r" + number;
    String key = "key" + (keys.equals("held") ? number % KEYS : number);
    balancer.onRequest(now, new Request(ids[place], key, "read", null, 2, 0, 0, false, false));
  }

  /** One read ends, and another arrives. */
  @Benchmark
  public long read() {
    int place = next % OPEN;
    if (sentTo[place] != 0) {
      Outcome.CacheStatus note =
          keys.equals("held") ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS;
      balancer.onOutcome(
          now,
          new Outcome(
              ids[place], 0, sentTo[place], Outcome.Result.OK, OPEN * GAP, true, note, null));
    }
    ask(place);
    return sentTo[place];
  }
}
