package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Pauses the real process by SIGSTOP and SIGCONT, as if the platform gave its core to other
 * processes for a time, while clients send requests and pause on connections that they keep open.
 */
@Timeout(120)
class ProcessStallIT {
  private static final int CLIENT_COUNT = 180;

  @TempDir private Path folder;

  @ParameterizedTest
  @ValueSource(ints = {50, 300, 1000, 3000})
  void answersAllRequestsWhenPausedRepeatedly(int pauseMillis) throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512);
        ClosedLoopClients clients = new ClosedLoopClients(node.address(), CLIENT_COUNT, 900)) {
      // With short pauses, the first pause begins within the first second.
      int runMillis = 1000 - Math.min(700, pauseMillis);
      while (!clients.awaitEnd(runMillis)) {
        node.pauseFor(pauseMillis);
      }
      clients.assertAllAnswered(pauseMillis, fleet);
    }
  }

  @Test
  void answersAllRequestsWhenRunningForTenthOfTime() throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512);
        ClosedLoopClients clients = new ClosedLoopClients(node.address(), 60, 120)) {
      while (!clients.awaitEnd(10)) {
        node.pauseFor(90);
      }
      // A node that is mostly paused answers late; the test checks that each request gets one
      // answer and no write runs twice.
      clients.assertAllAnswered(10_000, fleet);
    }
  }

  @Test
  void usesAllServersRightAfterPause() throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512)) {
      try (ClosedLoopClients clients = new ClosedLoopClients(node.address(), 60, 300)) {
        clients.awaitEnd(500);
        node.pauseFor(1000);
        fleet.resetCounts();
        // The wait is shorter than the shortest time for which a failed server is excluded.
        clients.awaitEnd(400);
        for (int i = 0; i < 4; i++) {
          assertTrue(
              fleet.servedRequests(i) > 0, "server " + i + " got no requests after the pause");
        }
        clients.awaitEnd(20_000);
        clients.assertAllAnswered(1000, fleet);
      }
    }
  }

  @Test
  void answersAllRequestsWhenServersCloseConnectionsDuringPause() throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512);
        ClosedLoopClients clients = new ClosedLoopClients(node.address(), 60, 200)) {
      while (!clients.awaitEnd(500)) {
        node.pause();
        TimeUnit.MILLISECONDS.sleep(150);
        fleet.closeIdleConnections();
        TimeUnit.MILLISECONDS.sleep(150);
        node.resume();
      }
      clients.assertAllAnswered(300, fleet);
      // A write that the node was sending as it was paused may find its connection closed.
      assertTrue(
          clients.failedWrites() <= 1,
          clients.failedWrites() + " writes failed on closed connections");
    }
  }

  @Test
  void answersAllRequestsWhenPausedDuringReloads() throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512);
        ClosedLoopClients clients = new ClosedLoopClients(node.address(), 60, 200)) {
      SplittableRandom random = new SplittableRandom(3);
      while (!clients.awaitEnd(200 + random.nextInt(400))) {
        if (random.nextBoolean()) {
          node.sendReloadSignal();
          node.pauseFor(300);
        } else {
          node.pause();
          node.sendReloadSignal();
          TimeUnit.MILLISECONDS.sleep(300);
          node.resume();
        }
      }
      clients.assertAllAnswered(300, fleet);
    }
  }

  /**
   * Terminates the node and pauses it before, across or after the time at which it closes its
   * clients' connections, or for longer than the drain takes. The longest deadline is 2 s: the node
   * closes connections 2.1 s after the signal, and has answered all requests at 2.55 s.
   *
   * @param delayMillis time from the signal to the pause
   * @param pauseMillis length of the pause
   */
  @ParameterizedTest
  @CsvSource({"0, 300", "1000, 300", "1950, 300", "2300, 300", "1500, 3500"})
  void answersAcceptedRequestsWhenPausedDuringDrain(int delayMillis, int pauseMillis)
      throws Exception {
    try (Fleet fleet = new Fleet(4);
        PausableNode node = new PausableNode(folder, fleet, 512);
        ClosedLoopClients clients = new ClosedLoopClients(node.address(), 60, 1_000_000)) {
      clients.awaitEnd(500);
      clients.endOnConnectionFailure();
      node.terminate();
      TimeUnit.MILLISECONDS.sleep(delayMillis);
      node.pauseFor(pauseMillis);
      assertTrue(node.awaitEnd(20_000), "the node did not end");
      clients.awaitEnd(20_000);
      clients.assertAllAnswered(pauseMillis, fleet);
    }
  }
}
