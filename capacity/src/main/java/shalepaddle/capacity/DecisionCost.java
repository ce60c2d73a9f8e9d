package shalepaddle.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.policy.RequestRouter;
import shalepaddle.policy.RoutingActions;

/**
 * Measures the processor time that one node's routing decisions take per read, from its arrival to
 * its outcome, and the time to process a new endpoint list, for a given number of servers.
 */
final class DecisionCost {
  /** Reads in flight, as many as at a node of the planned fleet. */
  private static final int READS_IN_FLIGHT = 30;

  private static final int KEY_COUNT = 5000;

  /**
   * The measured times, each the median of the rounds.
   *
   * @param cachedReadMicros the time per read of a key that its server has cached
   * @param uncachedReadMicros the time per read of a key that was not requested before
   * @param listUpdateMillis the time per full endpoint list, including the rebuild of the slot
   *     table
   */
  record Measurement(double cachedReadMicros, double uncachedReadMicros, double listUpdateMillis) {}

  /** The calls of a router whose time is measured. */
  interface MeasuredRouter {
    void onMembershipUpdate(double now, MembershipUpdate update);

    void onRequest(double now, Request request);

    void onOutcome(double now, Outcome outcome);
  }

  /** Creates a production router. */
  static MeasuredRouter createRouter(FleetSize size, RoutingActions actions) {
    RequestRouter requestRouter = new RequestRouter(HollowSettings.of(0, size, false), 1, actions);
    return new MeasuredRouter() {
      @Override
      public void onMembershipUpdate(double now, MembershipUpdate update) {
        requestRouter.onMembershipUpdate(now, update);
      }

      @Override
      public void onRequest(double now, Request request) {
        requestRouter.onRequest(now, request);
      }

      @Override
      public void onOutcome(double now, Outcome outcome) {
        requestRouter.onOutcome(now, outcome);
      }
    };
  }

  private final String[] requestIds = new String[READS_IN_FLIGHT];

  /** The server that each read in flight was sent to, 0 if the read was not sent. */
  private final long[] serverIds = new long[READS_IN_FLIGHT];

  private final MeasuredRouter router;
  private final double secondsPerRead;
  private int nextRequestNumber;

  /** Index of the read that the router is deciding on. */
  private int currentReadIndex;

  private double now;

  private DecisionCost(FleetSize size, Function<RoutingActions, MeasuredRouter> routerFactory) {
    router = routerFactory.apply(new ServerRecorder());
    secondsPerRead = size.nodes() / size.perSecond();
  }

  /**
   * Measures one node with the servers of a fleet of this size.
   *
   * @param readCount the number of reads in each round
   */
  static Measurement measure(
      FleetSize size, int readCount, Function<RoutingActions, MeasuredRouter> routerFactory) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int server = 0; server < size.servers(); server++) {
      entries.add(HollowSettings.createEntry(server, size, 0));
    }
    MembershipUpdate fullList = new MembershipUpdate(MembershipUpdate.Kind.FULL, 1, entries);
    DecisionCost costMeasurement = new DecisionCost(size, routerFactory);
    costMeasurement.router.onMembershipUpdate(0, fullList);
    costMeasurement.measureRound(readCount, true);
    List<Double> hitMicros = new ArrayList<>();
    List<Double> missMicros = new ArrayList<>();
    List<Double> updateMillis = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      hitMicros.add(costMeasurement.measureRound(readCount, true));
      missMicros.add(costMeasurement.measureRound(readCount, false));
      long startNanos = System.nanoTime();
      // Removes one server and adds it again, so that the slot table is rebuilt twice.
      costMeasurement.router.onMembershipUpdate(
          costMeasurement.now,
          new MembershipUpdate(
              MembershipUpdate.Kind.FULL, 1, entries.subList(0, entries.size() - 1)));
      costMeasurement.router.onMembershipUpdate(costMeasurement.now, fullList);
      updateMillis.add((System.nanoTime() - startNanos) / 2e6);
    }
    return new Measurement(median(hitMicros), median(missMicros), median(updateMillis));
  }

  static double median(List<Double> values) {
    return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
  }

  /** Routes this many reads, and returns the time per read in microseconds. */
  private double measureRound(int readCount, boolean isHit) {
    long startNanos = System.nanoTime();
    for (int i = 0; i < readCount; i++) {
      routeNextRead(isHit);
    }
    return (System.nanoTime() - startNanos) / 1e3 / readCount;
  }

  private void routeNextRead(boolean isHit) {
    currentReadIndex = nextRequestNumber % READS_IN_FLIGHT;
    if (serverIds[currentReadIndex] != 0) {
      Outcome.CacheStatus cacheStatus = isHit ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS;
      router.onOutcome(
          now,
          new Outcome(
              requestIds[currentReadIndex],
              0,
              serverIds[currentReadIndex],
              Outcome.Result.OK,
              READS_IN_FLIGHT * secondsPerRead,
              true,
              cacheStatus,
              null));
    }
    serverIds[currentReadIndex] = 0;
    now += secondsPerRead;
    int requestNumber = nextRequestNumber++;
    requestIds[currentReadIndex] = "r" + requestNumber;
    String key = isHit ? "k" + requestNumber % KEY_COUNT : "m" + requestNumber;
    router.onRequest(
        now, new Request(requestIds[currentReadIndex], key, "read", null, 2, 0, 0, false, false));
  }

  /** Records the server that the current read is sent to. */
  private final class ServerRecorder extends NoOpRoutingActions {
    @Override
    public void send(String requestId, long server, double withinSeconds) {
      serverIds[currentReadIndex] = server;
    }
  }
}
