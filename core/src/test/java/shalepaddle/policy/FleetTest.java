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

/** Tests many load balancers with little traffic each: how their requests add up at the servers. */
class FleetTest {
  private static final int NODES = 14;
  private static final int SERVERS = 60;

  /** The number of servers that start together. */
  private static final int STARTED_SERVERS = 36;

  private final List<RequestRouter> nodes = new ArrayList<>();
  private final List<PolicyFixture.Recorder> actions = new ArrayList<>();
  private final Random random = new Random(7);

  /** Attempts at each server, by its id. */
  private final int[] attemptsByServer = new int[SERVERS + 1];

  /** The servers that got attempts for each key. */
  private final Map<Integer, Set<Long>> serversByKey = new HashMap<>();

  private int nextRequestNumber;

  /** Runs all nodes from 100 s to 110 s with warm servers; attempts are counted from then on. */
  private void runWithWarmServers() {
    for (int nodeNumber = 0; nodeNumber < NODES; nodeNumber++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      actions.add(recorder);
      nodes.add(
          new RequestRouter(
              PolicyFixture.settings(nodeNumber, NODES, false, 4, true), nodeNumber, recorder));
      nodes.get(nodeNumber).onMembershipUpdate(100, PolicyFixture.fleet(SERVERS));
    }
    sendRequests(100, 110);
    Arrays.fill(attemptsByServer, 0);
    serversByKey.clear();
  }

  /**
   * Sends requests that are answered at once, on average one per second from each node to each
   * server.
   */
  private void sendRequests(double fromSeconds, double untilSeconds) {
    double now = fromSeconds;
    while (now < untilSeconds) {
      now += 1.0 / (NODES * SERVERS);
      int nodeNumber = random.nextInt(NODES);
      int key = random.nextInt(3000);
      String id = "r" + nextRequestNumber++;
      PolicyFixture.Recorder recorder = actions.get(nodeNumber);
      recorder.recorded.clear();
      nodes.get(nodeNumber).onRequest(now, PolicyFixture.request(id, "k" + key, "safe", 1));
      for (PolicyFixture.RecordedAction act : recorder.named("send")) {
        attemptsByServer[(int) act.numericArgument()]++;
        serversByKey.computeIfAbsent(key, k -> new HashSet<>()).add(act.numericArgument());
        nodes
            .get(nodeNumber)
            .onOutcome(now, PolicyFixture.outcome(id, 0, act.numericArgument(), Outcome.Result.OK));
      }
    }
  }

  /** Notifies all load balancers that these servers have just restarted. */
  private void restart(List<ServerEntry> startedServers) {
    nodes.forEach(
        node ->
            node.onMembershipUpdate(
                110, PolicyFixture.membershipUpdate(MembershipUpdate.Kind.DELTA, startedServers)));
  }

  /**
   * Guards against a former fault: each node accumulated tokens for eight seconds before its first
   * request to a warming server. The requests for all warming servers went to other servers
   * meanwhile, each time to a different one.
   */
  @Test
  void offersManyWarmingServersTheirCapacityFromFirstSecond() {
    runWithWarmServers();
    List<ServerEntry> startedServers = new ArrayList<>();
    for (long id = 1; id <= STARTED_SERVERS; id++) {
      startedServers.add(PolicyFixture.server(id, ServerEntry.State.READY, 110));
    }
    restart(startedServers);
    sendRequests(110, 114);

    // A warm server gets 14 requests per second. With the figures in the settings, a server starts
    // with a tenth of this rate and gains 4.5% of it per second. The load balancers offer twice the
    // present capacity; three times overload the server.
    double capacityPerServer = 0;
    for (int second = 0; second < 4; second++) {
      capacityPerServer += NODES * (0.1 + 0.9 * (second + 0.5) / 20);
    }
    int totalAttempts = 0;
    for (int id = 1; id <= STARTED_SERVERS; id++) {
      totalAttempts += attemptsByServer[id];
      assertTrue(
          attemptsByServer[id] <= 3 * capacityPerServer + 3,
          "server "
              + id
              + " got "
              + attemptsByServer[id]
              + " attempts, capacity "
              + capacityPerServer);
    }
    double totalCapacity = STARTED_SERVERS * capacityPerServer;
    assertTrue(
        totalAttempts > 1.3 * totalCapacity,
        totalAttempts + " attempts at the started servers, capacity " + totalCapacity);
    assertTrue(
        totalAttempts < 2.2 * totalCapacity,
        totalAttempts + " attempts at the started servers, capacity " + totalCapacity);
  }

  @Test
  void offersSameKeysToWarmingServerFromAllLoadBalancers() {
    runWithWarmServers();
    restart(List.of(PolicyFixture.server(5, ServerEntry.State.READY, 110)));
    sendRequests(110, 116);

    Set<Integer> keysAtServer = new HashSet<>();
    serversByKey.forEach(
        (key, servers) -> {
          if (servers.contains(5L)) {
            keysAtServer.add(key);
          }
        });
    assertTrue(
        keysAtServer.size() > 10,
        "number of keys served by the warming server: " + keysAtServer.size());
    // Each key is at one other server at most, which serves it until server 5 is warm enough.
    assertEquals(
        List.of(), keysAtServer.stream().filter(key -> serversByKey.get(key).size() > 2).toList());
  }
}
