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
 * What all nodes together send to a server in slow start, for fleets of any size: within the window
 * that the contract names never more than the contract permits then, within a tolerance for chance.
 */
@Execution(ExecutionMode.CONCURRENT)
class SlowStartTest {
  private static final int SERVERS = 20;
  private static final int KEYS = 5000;

  /** The usual load of a warm server, as a part of its capacity; the routers do not know it. */
  private static final double USUAL_LOAD = 0.75;

  /** A key whose owner is one of the servers that start. */
  private static final int HOT_KEY = 7;

  private static final double START = 110;
  private static final double END = 117;

  /** How the servers start of which the test counts the requests. */
  enum Start {
    ONE(1, 0),
    TOGETHER(12, 0),
    ONE_AFTER_THE_OTHER(12, 0.4);

    private final int servers;
    private final double apart;

    Start(int servers, double apart) {
      this.servers = servers;
      this.apart = apart;
    }
  }

  /** What clients ask for once the servers have started; evenly at the same rate before that. */
  enum Load {
    EVEN(1, 0),
    /** A fifth of the requests is for one key. */
    HOT_KEY(1, 0.2),
    /** Half as much again, more than warm servers can do. */
    BURST(1.5, 0);

    private final double times;
    private final double hotShare;

    Load(double times, double hotShare) {
      this.times = times;
      this.hotShare = hotShare;
    }
  }

  private final List<RequestRouter> nodes = new ArrayList<>();
  private final List<PolicyFixture.Recorder> actions = new ArrayList<>();
  private final Map<Long, Double> startedAt = new HashMap<>();
  private final Map<Long, ArrayDeque<Double>> recent = new HashMap<>();
  private final Random random = new Random(11);
  private int serial;
  private String worst = "";
  private double worstExcess = Double.NEGATIVE_INFINITY;

  static Stream<Arguments> fleets() {
    List<Arguments> fleets = new ArrayList<>();
    for (int nodes : new int[] {1, 2, 5, 14, 30, 100, 430}) {
      for (double rate : new double[] {1, 25}) {
        for (Start start : Start.values()) {
          for (Load load : Load.values()) {
            fleets.add(Arguments.of(nodes, rate, start, load));
          }
        }
      }
    }
    return fleets.stream();
  }

  /**
   * One fleet.
   *
   * @param size how many nodes
   * @param rate requests a second that a warm server gets of all of them
   */
  @ParameterizedTest
  @MethodSource("fleets")
  void sendsServerInSlowStartWhatContractPermits(int size, double rate, Start start, Load load) {
    for (int number = 0; number < size; number++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      actions.add(recorder);
      nodes.add(
          new RequestRouter(
              PolicyFixture.settings(number, size, false, 4, true), number, recorder));
      nodes.get(number).onMembershipUpdate(100, PolicyFixture.fleet(SERVERS));
    }
    play(100, START, rate, Load.EVEN);
    for (int i = 0; i < start.servers; i++) {
      double at = START + i * start.apart;
      if (i > 0 && start.apart > 0) {
        play(at - start.apart, at, rate, load);
      }
      long id = i + 1L;
      startedAt.put(id, at);
      ServerEntry entry = PolicyFixture.server(id, ServerEntry.State.READY, at);
      nodes.forEach(
          node ->
              node.onMembershipUpdate(
                  at, PolicyFixture.list(MembershipUpdate.Kind.DELTA, List.of(entry))));
    }
    play(START + (start.servers - 1) * start.apart, END, rate, load);
    assertTrue(worstExcess <= 0, worst);
  }

  private void play(double from, double until, double rate, Load load) {
    double step = 1 / (load.times * rate * SERVERS);
    for (double now = from + step; now <= until; now += step) {
      int number = random.nextInt(nodes.size());
      String id = "r" + serial++;
      int key = random.nextDouble() < load.hotShare ? HOT_KEY : random.nextInt(KEYS);
      PolicyFixture.Recorder recorder = actions.get(number);
      recorder.acts.clear();
      nodes.get(number).onRequest(now, PolicyFixture.request(id, "k" + key, "safe", 1));
      for (PolicyFixture.Act act : recorder.of("send")) {
        sent(now, act.number(), rate);
        nodes
            .get(number)
            .onOutcome(now, PolicyFixture.outcome(id, 0, act.number(), Outcome.Result.OK));
      }
    }
  }

  private void sent(double now, long server, double rate) {
    Double started = startedAt.get(server);
    if (started == null) {
      return;
    }
    var contract = PolicyFixture.settings(0, 1, false, 4, true).contract();
    double window = contract.overloadSeconds();
    ArrayDeque<Double> sends = recent.computeIfAbsent(server, id -> new ArrayDeque<>());
    sends.addLast(now);
    while (sends.peekFirst() <= now - window) {
      sends.removeFirst();
    }
    double age = now - started;
    if (age < contract.slowStartSeconds()) {
      double warmth =
          contract.slowStartMinRatio()
              + (1 - contract.slowStartMinRatio()) * age / contract.slowStartSeconds();
      double allowed = contract.overloadRatio() * warmth * rate / USUAL_LOAD * window;
      double tolerance = allowed < 30 ? 3 * Math.sqrt(allowed) + 3 : 2 * Math.sqrt(allowed) + 2;
      double excess = sends.size() - allowed - tolerance;
      if (excess > worstExcess) {
        worstExcess = excess;
        worst =
            "server %d at %.2f s after its start: %d in %.1f s, allowed are %.1f and %.1f"
                .formatted(server, age, sends.size(), window, allowed, tolerance);
      }
    }
  }
}
