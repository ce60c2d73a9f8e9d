package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/**
 * Runs the real process with a wall clock that differs from the clock of discovery, which sets the
 * servers' start times. The process must serve all requests, and send less load to a server that
 * has just started until that server is warm.
 */
@Timeout(60)
class WallClockIT {
  private static final int SERVER_COUNT = 3;
  private static final int REQUEST_COUNT = 300;
  private static final long WARM_SERVER_AGE_MILLIS = TimeUnit.MINUTES.toMillis(10);

  /**
   * Upper bound on the load of a server that has just started, as a fraction of its usual load. The
   * setting {@code cold-from} is a fraction, too: the node first sends the server twice that
   * fraction of the usual load, and more while the server warms up.
   */
  private static final double MAX_COLD_FRACTION = 0.5;

  @TempDir private Path folder;
  private FaultySystemCalls calls;
  private Fleet fleet;
  private PausableNode node;
  private int nextRequestNumber;

  @BeforeEach
  void prepare() throws Exception {
    calls = new FaultySystemCalls(folder);
    fleet = new Fleet(SERVER_COUNT);
  }

  @AfterEach
  void stop() throws Exception {
    if (node != null) {
      node.close();
    }
    fleet.close();
  }

  private void startNode() throws Exception {
    node =
        new PausableNode(
            folder,
            "node",
            port -> fleet.config(port, 256).replace("\"warm-within\":1", "\"warm-within\":20"),
            calls.environment());
    assertTrue(node.awaitListening(), "the node does not listen");
  }

  /** Sends {@code REQUEST_COUNT} reads one after the other and returns how many were served. */
  private int sendReads() throws IOException {
    int servedRequests = 0;
    try (ScriptedPeer client = ScriptedPeer.connect(node.address())) {
      for (int i = 0; i < REQUEST_COUNT; i++) {
        String id = "r" + nextRequestNumber++;
        client.write("mg key-%s v O%s Pc=read,d=1000\r\n".formatted(id, id));
        if (client.readLine().equals("VA 5 O" + id)) {
          client.readLine();
          servedRequests++;
        }
      }
    }
    return servedRequests;
  }

  /**
   * All servers started ten minutes ago; the clocks of the node and of discovery differ by up to an
   * hour.
   *
   * @param nodeClockAheadSeconds by how much the node's clock is ahead of the machine's
   * @param discoveryClockAheadSeconds by how much discovery's clock is ahead of the machine's
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "-3600, 0", "3600, 0", "0, -3600", "0, 3600", "-5, 5"})
  void servesFromWarmServersWhenClocksDiffer(
      long nodeClockAheadSeconds, long discoveryClockAheadSeconds) throws Exception {
    long startTimeMillis =
        System.currentTimeMillis() + discoveryClockAheadSeconds * 1000 - WARM_SERVER_AGE_MILLIS;
    for (int i = 0; i < SERVER_COUNT; i++) {
      fleet.setStartTime(i, startTimeMillis + i);
    }
    calls.setWallClockOffset(nodeClockAheadSeconds);
    startNode();
    assertEquals(REQUEST_COUNT, sendReads());
    fleet.setStartTime(0, startTimeMillis);
    assertEquals(REQUEST_COUNT, sendReads());
  }

  /**
   * A server restarts after a step of discovery's clock, so that the new start time in the list may
   * be earlier than the previous one.
   */
  @ParameterizedTest
  @CsvSource({"0, 0", "3600, 0", "-3600, 0", "0, -3600", "0, 3600"})
  void limitsLoadOnServerThatStartsAfterNode(
      long nodeClockAheadSeconds, long discoveryClockAheadSeconds) throws Exception {
    for (int i = 0; i < SERVER_COUNT; i++) {
      fleet.setStartTime(i, System.currentTimeMillis() - WARM_SERVER_AGE_MILLIS + i);
    }
    startNode();
    calls.setWallClockOffset(nodeClockAheadSeconds);
    assertEquals(REQUEST_COUNT, sendReads());
    int requestsWhenWarm = fleet.servedRequests(0);
    fleet.setStartTime(0, System.currentTimeMillis() + discoveryClockAheadSeconds * 1000);
    TimeUnit.MILLISECONDS.sleep(100);
    fleet.resetCounts();
    assertEquals(REQUEST_COUNT, sendReads());
    int requestsWhenCold = fleet.servedRequests(0);
    assertTrue(
        requestsWhenCold < MAX_COLD_FRACTION * requestsWhenWarm,
        "the server served "
            + requestsWhenWarm
            + " requests when warm and "
            + requestsWhenCold
            + " when cold");
  }

  /**
   * A node that starts after a server knows the server's age only by comparing the start time in
   * discovery's list with its own clock.
   */
  @ParameterizedTest
  @ValueSource(longs = {0, 3600, -3600})
  void limitsLoadOnServerThatStartedJustBeforeNode(long nodeClockAheadSeconds) throws Exception {
    for (int i = 0; i < SERVER_COUNT; i++) {
      fleet.setStartTime(i, System.currentTimeMillis() - WARM_SERVER_AGE_MILLIS + i);
    }
    fleet.setStartTime(0, System.currentTimeMillis());
    calls.setWallClockOffset(nodeClockAheadSeconds);
    startNode();
    assertEquals(REQUEST_COUNT, sendReads());
    int requestsOfWarmServers = fleet.servedRequests(1) + fleet.servedRequests(2);
    int requestsOfColdServer = fleet.servedRequests(0);
    assertTrue(
        requestsOfColdServer < MAX_COLD_FRACTION * requestsOfWarmServers / 2,
        "two warm servers served "
            + requestsOfWarmServers
            + " requests, the cold one "
            + requestsOfColdServer);
  }
}
