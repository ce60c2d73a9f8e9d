package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Clients leave in all ways, drawn by seed, beside stops in series and a crowd of idle connections,
 * while the node serves and while it drains; other clients use their connections until the kill,
 * which comes as early as the protocol allows. The build plays three seeds; {@code -Dsoak.first=1
 * -Dsoak.seeds=50} plays more.
 */
class LeavingClientsSoakIT {
  private static final long FIRST_SEED = Long.getLong("soak.first", 690);
  private static final int SEEDS = Integer.getInteger("soak.seeds", 3);
  private static final int SERVING_MILLIS = 1500;
  private static final int KILL_MARGIN_MILLIS = 700;
  private static final int CROWD_CONNECTIONS = 150;
  private static final int STEADY_CLIENTS = 4;
  private static final int STEADY_ANSWER_MILLIS = BurstTestbed.DEADLINE_MILLIS + 50 + 200;
  private static final int MAX_PAUSE_MILLIS = 150;
  private static final int MAX_SMALL_BURST = 400;
  private static final int MAX_LARGE_BURST = 3000;
  private static final int MAX_LARGE_WRITES = 30;

  @TempDir private Path folder;

  @Test
  void nothingIsSentForClientsThatLeftAndOthersAreAnswered() throws Exception {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
      try (BurstTestbed testbed = new BurstTestbed(seedFolder, seed)) {
        for (String violation : new Run(testbed, new SplittableRandom(seed)).play(seed)) {
          violations.add("seed " + seed + ": " + violation);
        }
      }
    }
    assertEquals(List.of(), violations);
  }

  /** One seed's run. */
  private static final class Run {
    private final BurstTestbed testbed;
    private final SplittableRandom random;
    private final List<Future<BurstClient>> leavingClients = new ArrayList<>();
    private final List<Future<List<String>>> steadyClients = new ArrayList<>();
    private volatile boolean isKilled;

    Run(BurstTestbed testbed, SplittableRandom random) {
      this.testbed = testbed;
      this.random = random;
    }

    List<String> play(long seed) throws Exception {
      testbed.startNode();
      List<Socket> crowd = random.nextInt(3) == 0 ? connectCrowd() : List.of();
      boolean hasPauses = random.nextBoolean();
      startSteadyClients();
      playFor(SERVING_MILLIS, hasPauses);
      testbed.node().terminate();
      playFor(BurstTestbed.LONGEST_DEADLINE_MILLIS + KILL_MARGIN_MILLIS, false);
      isKilled = true;
      testbed.node().close();
      for (Socket socket : crowd) {
        socket.close();
      }
      System.out.printf("seed %d, crowd %d, pauses %b: ", seed, crowd.size(), hasPauses);
      List<String> violations = new ArrayList<>(testbed.attemptsOf(endedClients()).late());
      BurstTestbed.awaitAll(steadyClients).forEach(violations::addAll);
      return violations;
    }

    private List<Socket> connectCrowd() throws IOException {
      List<Socket> sockets = new ArrayList<>();
      for (int i = 0; i < CROWD_CONNECTIONS; i++) {
        sockets.add(
            new Socket(testbed.node().address().getAddress(), testbed.node().address().getPort()));
      }
      return sockets;
    }

    private void startSteadyClients() {
      for (int i = 0; i < STEADY_CLIENTS; i++) {
        List<BurstTestbed.Burst> requests = new ArrayList<>();
        for (int j = 0; j < 400; j++) {
          requests.add(testbed.burst(BurstTestbed.Kind.READS, 1));
        }
        steadyClients.add(testbed.start(() -> useConnectionUntilItEnds(requests)));
      }
    }

    /** Sends one request after another on one connection; returns what was not answered. */
    private List<String> useConnectionUntilItEnds(List<BurstTestbed.Burst> requests)
        throws Exception {
      try (BurstClient client = new BurstClient(testbed.node().address())) {
        for (BurstTestbed.Burst request : requests) {
          String id = request.ids().get(0);
          if (!client.exchange(request.commands(), STEADY_ANSWER_MILLIS)) {
            // Unless the node has read the request, the client sends it again to another node.
            boolean isLost = testbed.arrivals(id) > 0 && !isKilled;
            return isLost ? List.of(id + " was sent to a server and not answered") : List.of();
          }
        }
      } catch (IOException e) {
        // The connection has ended between two requests.
      }
      return List.of();
    }

    /** Starts leaving clients at random times, with stops in between. */
    private void playFor(int millis, boolean hasPauses) throws Exception {
      long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
      while (System.nanoTime() - endNanos < 0) {
        startLeavingClient();
        if (hasPauses && random.nextInt(4) == 0) {
          testbed.node().pauseFor(random.nextInt(MAX_PAUSE_MILLIS));
        }
        long leftMillis = TimeUnit.NANOSECONDS.toMillis(endNanos - System.nanoTime());
        TimeUnit.MILLISECONDS.sleep(Math.max(0, Math.min(random.nextInt(200), leftMillis)));
      }
    }

    private void startLeavingClient() {
      BurstTestbed.Kind[] kinds = BurstTestbed.Kind.values();
      BurstTestbed.Kind kind = kinds[random.nextInt(kinds.length)];
      int maxRequests = random.nextInt(4) == 0 ? MAX_LARGE_BURST : MAX_SMALL_BURST;
      if (kind == BurstTestbed.Kind.LARGE_WRITES) {
        maxRequests = MAX_LARGE_WRITES;
      }
      BurstTestbed.Burst burst = testbed.burst(kind, 1 + random.nextInt(maxRequests));
      BurstClient.Ending[] endings = BurstClient.Ending.values();
      BurstClient.Ending ending = endings[random.nextInt(endings.length)];
      long openMillis = random.nextInt(200);
      leavingClients.add(testbed.start(() -> testbed.sendAndEnd(burst, openMillis, ending)));
    }

    /** The clients that could connect and send all before the node ended. */
    private List<BurstClient> endedClients() throws InterruptedException {
      List<BurstClient> clients = new ArrayList<>();
      for (Future<BurstClient> client : leavingClients) {
        try {
          clients.add(client.get());
        } catch (java.util.concurrent.ExecutionException e) {
          // The node has closed its listener or the connection.
        }
      }
      return clients;
    }
  }
}
