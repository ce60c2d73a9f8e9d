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
 * Measures the time of the routing decisions per read, from the read's arrival to its outcome, with
 * 64 reads in flight, by the number of servers. The time is measured for keys that the servers have
 * cached, and for keys that were not requested before.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class DecisionCost {
  private static final int KEY_COUNT = 5000;
  private static final int READS_IN_FLIGHT = 64;

  /** Seconds between two reads, for 20,000 reads per second. */
  private static final double SECONDS_PER_READ = 5e-5;

  /** The number of cache servers. */
  @Param({"8", "34", "1000"})
  public int servers;

  /** Whether the servers have the requested keys cached: {@code held} or {@code missing}. */
  @Param({"held", "missing"})
  public String keys;

  private final String[] requestIds = new String[READS_IN_FLIGHT];

  /** The server that each read in flight was sent to, 0 if the read was not sent. */
  private final long[] serverIds = new long[READS_IN_FLIGHT];

  private RequestRouter router;
  private int nextRequestNumber;
  private double nowSeconds;

  /** Index of the read that the router is deciding on. */
  private int currentReadIndex;

  /** Creates a router, and has it route each of the cached keys at least twice. */
  @Setup(Level.Trial)
  public void setUpRouter() {
    router = new RequestRouter(createSettings(), 1, new ServerRecorder());
    List<ServerEntry> serverEntries = new ArrayList<>();
    for (long id = 1; id <= servers; id++) {
      serverEntries.add(new ServerEntry(id, "a", "m", 0, ServerEntry.State.READY, 1, 0));
    }
    router.onMembershipUpdate(
        nowSeconds, new MembershipUpdate(MembershipUpdate.Kind.FULL, 1, serverEntries));
    for (int i = 0; i < READS_IN_FLIGHT; i++) {
      routeNextRead(i);
    }
    for (int i = 0; i < 2 * KEY_COUNT; i++) {
      read();
    }
  }

  private static Settings createSettings() {
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

  /** Records the server that the current read is sent to, or 0 if the read is not sent. */
  private final class ServerRecorder implements RoutingActions {
    @Override
    public void send(String requestId, long server, double withinSeconds) {
      serverIds[currentReadIndex] = server;
    }

    @Override
    public void cancel(String requestId, int attempt) {}

    @Override
    public void reject(String requestId, double retryAfterSeconds) {
      serverIds[currentReadIndex] = 0;
    }

    @Override
    public void fail(String requestId) {
      serverIds[currentReadIndex] = 0;
    }

    @Override
    public void scheduleTimer(long token, double delaySeconds) {}

    @Override
    public void subscribe(boolean isSubscribed) {}

    @Override
    public void closeIdleConnections(long server) {}
  }

  private void routeNextRead(int index) {
    currentReadIndex = index;
    serverIds[index] = 0;
    nowSeconds += SECONDS_PER_READ;
    int requestNumber = nextRequestNumber++;
    requestIds[index] = "r" + requestNumber;
    String key = "key" + (keys.equals("held") ? requestNumber % KEY_COUNT : requestNumber);
    router.onRequest(
        nowSeconds, new Request(requestIds[index], key, "read", null, 2, 0, 0, false, false));
  }

  /** Completes one read and routes the next one. */
  @Benchmark
  public long read() {
    int index = nextRequestNumber % READS_IN_FLIGHT;
    if (serverIds[index] != 0) {
      Outcome.CacheStatus cacheStatus =
          keys.equals("held") ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS;
      router.onOutcome(
          nowSeconds,
          new Outcome(
              requestIds[index],
              0,
              serverIds[index],
              Outcome.Result.OK,
              READS_IN_FLIGHT * SECONDS_PER_READ,
              true,
              cacheStatus,
              null));
    }
    routeNextRead(index);
    return serverIds[index];
  }
}
