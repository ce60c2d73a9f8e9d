package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;

/**
 * Checks that all nodes together, in fleets of different sizes, do not send more requests to a
 * server in slow start than it can serve without overload according to {@link
 * shalepaddle.model.Settings.Contract}, apart from a tolerance for random fluctuations. Attempts
 * are counted over the time for which an overload must last before a server fails.
 */
@Execution(ExecutionMode.CONCURRENT)
class SlowStartTest {
  private static final int SERVERS = 20;
  private static final int KEYS = 5000;

  /** The usual load of a warm server, as a fraction of its capacity; unknown to the routers. */
  private static final double USUAL_LOAD_RATIO = 0.75;

  /** A key whose owner is one of the servers that start. */
  private static final int HOT_KEY = 7;

  private static final double START_SECONDS = 110;
  private static final double END_SECONDS = 117;

  /**
   * The number of servers that start, whose requests the test counts, and the interval between
   * their starts.
   */
  enum Start {
    ONE(1, 0),
    SIMULTANEOUS(12, 0),
    STAGGERED(12, 0.4);

    private final int servers;
    private final double intervalSeconds;

    Start(int servers, double intervalSeconds) {
      this.servers = servers;
      this.intervalSeconds = intervalSeconds;
    }
  }

  /** The load after the servers have started. Before that, it is {@link #UNIFORM}. */
  enum Load {
    UNIFORM(1, 0),
    /** The usual rate, of which one key gets a fifth. */
    HOT_KEY(1, 0.2),
    /** 1.5 times the usual rate, which exceeds the capacity of warm servers. */
    BURST(1.5, 0);

    private final double rateRatio;
    private final double hotKeyRatio;

    Load(double rateRatio, double hotKeyRatio) {
      this.rateRatio = rateRatio;
      this.hotKeyRatio = hotKeyRatio;
    }
  }

  private final List<RequestRouter> nodes = new ArrayList<>();
  private final List<PolicyFixture.Recorder> actions = new ArrayList<>();
  private final Map<Long, Double> startedAtSeconds = new HashMap<>();

  /** The times of the attempts in the last window, by server id. */
  private final Map<Long, ArrayDeque<Double>> recentSends = new HashMap<>();

  private final Random random = new Random(11);
  private int nextRequestNumber;
  private String worstCase = "";
  private double worstExcess = Double.NEGATIVE_INFINITY;

  static Stream<Arguments> fleets() {
    List<Arguments> fleets = new ArrayList<>();
    for (int nodes : new int[] {1, 2, 5, 14, 30, 100, 430}) {
      for (double requestsPerSecond : new double[] {1, 25}) {
        for (Start start : Start.values()) {
          for (Load load : Load.values()) {
            fleets.add(Arguments.of(nodes, requestsPerSecond, start, load));
          }
        }
      }
    }
    return fleets.stream();
  }

  /**
   * Starts servers of one fleet, and checks that none of them gets more attempts than it can serve.
   *
   * @param nodeCount the number of nodes
   * @param requestsPerSecond requests per second that a warm server gets from all nodes together
   */
  @ParameterizedTest
  @MethodSource("fleets")
  void doesNotOverloadServersInSlowStart(
      int nodeCount, double requestsPerSecond, Start start, Load load) {
    for (int nodeNumber = 0; nodeNumber < nodeCount; nodeNumber++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      actions.add(recorder);
      nodes.add(
          new RequestRouter(
              PolicyFixture.settings(nodeNumber, nodeCount, false, 4, true), nodeNumber, recorder));
      nodes.get(nodeNumber).onMembershipUpdate(100, PolicyFixture.fleet(SERVERS));
    }
    sendRequests(100, START_SECONDS, requestsPerSecond, Load.UNIFORM);
    for (int i = 0; i < start.servers; i++) {
      double startSeconds = START_SECONDS + i * start.intervalSeconds;
      if (i > 0 && start.intervalSeconds > 0) {
        sendRequests(startSeconds - start.intervalSeconds, startSeconds, requestsPerSecond, load);
      }
      long id = i + 1L;
      startedAtSeconds.put(id, startSeconds);
      ServerEntry entry = PolicyFixture.server(id, ServerEntry.State.READY, startSeconds);
      nodes.forEach(
          node ->
              node.onMembershipUpdate(
                  startSeconds,
                  PolicyFixture.membershipUpdate(MembershipUpdate.Kind.DELTA, List.of(entry))));
    }
    double lastStartSeconds = START_SECONDS + (start.servers - 1) * start.intervalSeconds;
    sendRequests(lastStartSeconds, END_SECONDS, requestsPerSecond, load);
    assertTrue(worstExcess <= 0, worstCase);
  }

  /** Sends requests from random nodes, which the servers answer at once. */
  private void sendRequests(
      double fromSeconds, double untilSeconds, double requestsPerSecond, Load load) {
    double stepSeconds = 1 / (load.rateRatio * requestsPerSecond * SERVERS);
    for (double now = fromSeconds + stepSeconds; now <= untilSeconds; now += stepSeconds) {
      int nodeNumber = random.nextInt(nodes.size());
      String id = "r" + nextRequestNumber++;
      int key = random.nextDouble() < load.hotKeyRatio ? HOT_KEY : random.nextInt(KEYS);
      PolicyFixture.Recorder recorder = actions.get(nodeNumber);
      recorder.recorded.clear();
      nodes.get(nodeNumber).onRequest(now, PolicyFixture.request(id, "k" + key, "safe", 1));
      for (PolicyFixture.RecordedAction act : recorder.named("send")) {
        recordSend(now, act.numericArgument(), requestsPerSecond);
        nodes
            .get(nodeNumber)
            .onOutcome(now, PolicyFixture.outcome(id, 0, act.numericArgument(), Outcome.Result.OK));
      }
    }
  }

  /**
   * Counts an attempt at a started server, and records by how much the server's recent attempts
   * exceed what it can serve without overload according to {@link
   * shalepaddle.model.Settings.Contract}.
   */
  private void recordSend(double now, long server, double requestsPerSecond) {
    Double serverStartSeconds = startedAtSeconds.get(server);
    if (serverStartSeconds == null) {
      return;
    }
    var contract = PolicyFixture.settings(0, 1, false, 4, true).contract();
    double windowSeconds = contract.overloadSeconds();
    ArrayDeque<Double> sends = recentSends.computeIfAbsent(server, id -> new ArrayDeque<>());
    sends.addLast(now);
    while (sends.peekFirst() <= now - windowSeconds) {
      sends.removeFirst();
    }
    double ageSeconds = now - serverStartSeconds;
    if (ageSeconds < contract.slowStartSeconds()) {
      double capacityRatio =
          contract.slowStartMinRatio()
              + (1 - contract.slowStartMinRatio()) * ageSeconds / contract.slowStartSeconds();
      double allowedSends =
          contract.overloadRatio()
              * capacityRatio
              * requestsPerSecond
              / USUAL_LOAD_RATIO
              * windowSeconds;
      double toleratedSends =
          allowedSends < 30 ? 3 * Math.sqrt(allowedSends) + 3 : 2 * Math.sqrt(allowedSends) + 2;
      double excessSends = sends.size() - allowedSends - toleratedSends;
      if (excessSends > worstExcess) {
        worstExcess = excessSends;
        worstCase =
            "server %d at %.2f s after its start: %d requests in %.1f s, allowed are %.1f + %.1f"
                .formatted(
                    server, ageSeconds, sends.size(), windowSeconds, allowedSends, toleratedSends);
      }
    }
  }
}
