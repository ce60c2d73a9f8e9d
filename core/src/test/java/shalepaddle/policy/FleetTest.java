package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;

/** Many load balancers before many servers, each with little traffic: counts over all. */
class FleetTest {
  private static final int NODES = 14;
  private static final int SERVERS = 60;

  /** How many of them start together. */
  private static final int NEW = 36;

  private final List<RequestRouter> nodes = new ArrayList<>();
  private final List<PolicyFixture.Recorder> actions = new ArrayList<>();
  private final Random random = new Random(7);

  /** Requests to each server, by its id. */
  private final int[] sends = new int[SERVERS + 1];

  /** Where the keys went, by key. */
  private final Map<Integer, Set<Long>> homes = new HashMap<>();

  private int serial;

  /** Nodes that have served for ten seconds, until 110; what went where is counted from then on. */
  private void startWarm() {
    for (int number = 0; number < NODES; number++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      actions.add(recorder);
      nodes.add(
          new RequestRouter(
              PolicyFixture.settings(number, NODES, false, 4, true), number, recorder));
      nodes.get(number).onMembershipUpdate(100, PolicyFixture.fleet(SERVERS));
    }
    play(100, 110);
    Arrays.fill(sends, 0);
    homes.clear();
  }

  /** One request a second to each server in the mean from each node, answered at once. */
  private void play(double from, double until) {
    double now = from;
    while (now < until) {
      now += 1.0 / (NODES * SERVERS);
      int number = random.nextInt(NODES);
      int key = random.nextInt(3000);
      String id = "r" + serial++;
      PolicyFixture.Recorder recorder = actions.get(number);
      recorder.acts.clear();
      nodes.get(number).onRequest(now, PolicyFixture.request(id, "k" + key, "safe", 1));
      for (PolicyFixture.Act act : recorder.of("send")) {
        sends[(int) act.number()]++;
        homes.computeIfAbsent(key, k -> new HashSet<>()).add(act.number());
        nodes
            .get(number)
            .onOutcome(now, PolicyFixture.outcome(id, 0, act.number(), Outcome.Result.OK));
      }
    }
  }

  /** These servers have just restarted, and all load balancers are notified. */
  private void restart(List<ServerEntry> started) {
    nodes.forEach(
        node ->
            node.onMembershipUpdate(110, PolicyFixture.list(MembershipUpdate.Kind.DELTA, started)));
  }

  /**
   * Before, each node saved up for its first request to a cold server, for eight seconds; what was
   * meant for them all went to the others meanwhile, each time elsewhere.
   */
  @Test
  void offersManyWarmingServersTheirCapacityFromFirstSecond() {
    startWarm();
    List<ServerEntry> started = new ArrayList<>();
    for (long id = 1; id <= NEW; id++) {
      started.add(PolicyFixture.server(id, ServerEntry.State.READY, 110));
    }
    restart(started);
    play(110, 114);

    // The contract's least: a tenth of a warm server's 14 requests a second, and 0.045 of them more
    // each second. Offered is twice that; rule 4 ends at three times what the server can do by
    // then.
    double least = 0;
    for (int second = 0; second < 4; second++) {
      least += NODES * (0.1 + 0.9 * (second + 0.5) / 20);
    }
    int all = 0;
    for (int id = 1; id <= NEW; id++) {
      int got = sends[id];
      all += got;
      assertTrue(got <= 3 * least + 3, "server " + id + " got " + got + " of " + least);
    }
    assertTrue(all > 1.3 * NEW * least, all + " of " + NEW * least);
    assertTrue(all < 2.2 * NEW * least, all + " of " + NEW * least);
  }

  @Test
  void allLoadBalancersOfferSameKeysToWarmingServers() {
    startWarm();
    restart(List.of(PolicyFixture.server(5, ServerEntry.State.READY, 110)));
    play(110, 116);

    Set<Integer> atOwner = new HashSet<>();
    homes.forEach(
        (key, servers) -> {
          if (servers.contains(5L)) {
            atOwner.add(key);
          }
        });
    assertTrue(atOwner.size() > 10, "keys at the warming server: " + atOwner.size());
    // One other at most: the one where a key stays until the server is warm enough for it.
    assertEquals(List.of(), atOwner.stream().filter(key -> homes.get(key).size() > 2).toList());
  }
}
