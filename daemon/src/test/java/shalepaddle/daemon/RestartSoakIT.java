package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Restarts nodes that are held up at any moment, drawn by seed, with the earliest SIGKILL:
 * deadlines, clients, hung servers, a crowd, half-sent requests and signals in series; beside many
 * sockets of others, slow readers and leaving writers. Clients use their connections until these
 * end. The build plays a few seeds; {@code -Dsoak.first=1 -Dsoak.seeds=50} plays more.
 */
class RestartSoakIT {
  private static final long FIRST_SEED = Long.getLong("soak.first", 800);
  private static final int SEEDS = Integer.getInteger("soak.seeds", 8);
  private static final double[] LONGEST_DEADLINES_SECONDS = {0.3, 0.8, 2.05, 3};
  private static final int SERVING_MILLIS = 700;
  private static final int MIN_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 3000;
  private static final int MAX_PAUSES = 3;
  private static final int CROWD_CONNECTIONS = 150;
  private static final int MAX_HALF_SENT = 5;
  private static final int SOCKETS_OF_OTHERS = 30_000;

  /** The kernel keeps closed sockets for a minute, in which so many seeds are played. */
  private static final int SEEDS_PER_MINUTE = 10;

  private static final int MAX_DISTURBING_CLIENTS = 3;

  /** The time in which the node looks at what its clients have taken, once at least. */
  private static final int DISTURBED_MILLIS = 1000;

  @TempDir private Path folder;

  @Test
  void losesOnlyWhatWasTakenBeforeNodeWasHeldUpUntilKill() throws Exception {
    List<String> violations = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      if ((seed - FIRST_SEED) % SEEDS_PER_MINUTE == 0) {
        ClosedSockets.leave(SOCKETS_OF_OTHERS);
      }
      Path seedFolder = Files.createDirectory(folder.resolve("seed-" + seed));
      for (String violation : new Run(seed).play(seedFolder)) {
        violations.add("seed " + seed + ": " + violation);
      }
    }
    assertEquals(List.of(), violations);
  }

  /** A signal to the node, in milliseconds after SIGTERM. */
  private record Signal(long atMillis, String name) {}

  /** One seed's run. */
  private static final class Run {
    private final long seed;
    private final SplittableRandom random;
    private final double longestDeadlineSeconds;
    private final List<Socket> silentConnections = new ArrayList<>();

    Run(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      this.longestDeadlineSeconds =
          LONGEST_DEADLINES_SECONDS[random.nextInt(LONGEST_DEADLINES_SECONDS.length)];
    }

    List<String> play(Path seedFolder) throws Exception {
      int hungServers = random.nextInt(3);
      try (RestartTestbed testbed =
          new RestartTestbed(seedFolder, longestDeadlineSeconds, hungServers)) {
        PausableNode node = testbed.startNode();
        boolean hasCrowd = random.nextInt(3) == 0;
        connectSilent(node.address(), hasCrowd ? CROWD_CONNECTIONS : 0);
        int deadlineMillis = (int) (longestDeadlineSeconds * 1000);
        int clients = 8 + random.nextInt(24);
        int thinkMillis = random.nextInt(200);
        testbed.startClients(
            clients,
            new RestartClient.Habits(deadlineMillis, thinkMillis, 1),
            testbed.frontOf(node),
            seed);
        testbed.startClients(
            2,
            new RestartClient.Habits(deadlineMillis, thinkMillis, 4),
            testbed.frontOf(node),
            seed + 1);
        node.awaitEnd(SERVING_MILLIS);
        List<Signal> signals = drawSignals(testbed.killMillis());
        int slowReaders = random.nextInt(1 + MAX_DISTURBING_CLIENTS);
        int leavingWriters = random.nextInt(1 + MAX_DISTURBING_CLIENTS);
        DisturbingClients disturbing = new DisturbingClients(node.address());
        disturbing.start(slowReaders, leavingWriters);
        node.awaitEnd(DISTURBED_MILLIS);
        disturbing.stop();
        Holds holds = send(testbed, node, signals);
        testbed.killAtEarliestTime(node);
        RestartVerdict verdict = new RestartVerdict(testbed, node, holds);
        List<String> violations = verdict.violations(testbed.stopClients());
        System.out.printf(
            "seed %d, d %.2f, hung %d, crowd %b, slow %d, leaving %d, %s: %s%n",
            seed,
            longestDeadlineSeconds,
            hungServers,
            hasCrowd,
            slowReaders,
            leavingWriters,
            signals,
            verdict.summary());
        return violations;
      } finally {
        for (Socket socket : silentConnections) {
          socket.close();
        }
      }
    }

    /** Opens connections that are never used, or on which half of a request was sent. */
    private void connectSilent(InetSocketAddress address, int crowd) throws IOException {
      int halfSent = random.nextInt(MAX_HALF_SENT);
      for (int i = 0; i < crowd + halfSent; i++) {
        Socket socket = new Socket(address.getAddress(), address.getPort());
        silentConnections.add(socket);
        if (i < halfSent) {
          socket.getOutputStream().write("mg key v Oha".getBytes(StandardCharsets.US_ASCII));
        }
      }
    }

    /** Pauses anywhere from before SIGTERM until after the kill, and other signals beside it. */
    private List<Signal> drawSignals(int killMillis) {
      List<Signal> signals = new ArrayList<>();
      signals.add(new Signal(0, "TERM"));
      if (random.nextInt(3) == 0) {
        signals.add(new Signal(-100 + random.nextInt(200), "HUP"));
      }
      if (random.nextInt(4) == 0) {
        signals.add(new Signal(random.nextInt(killMillis), "TERM"));
      }
      long fromMillis = -300;
      int pauses = random.nextInt(1 + MAX_PAUSES);
      for (int i = 0; i < pauses && fromMillis < killMillis; i++) {
        long beginMillis = fromMillis + random.nextInt((int) (killMillis - fromMillis));
        long endMillis =
            beginMillis + MIN_PAUSE_MILLIS + random.nextInt(MAX_PAUSE_MILLIS - MIN_PAUSE_MILLIS);
        signals.add(new Signal(beginMillis, "STOP"));
        if (endMillis < killMillis) {
          signals.add(new Signal(endMillis, "CONT"));
        }
        fromMillis = endMillis + 50;
      }
      signals.sort((a, b) -> Long.compare(a.atMillis(), b.atMillis()));
      return signals;
    }

    /** Sends the signals, and returns when the node was held up. */
    private static Holds send(RestartTestbed testbed, PausableNode node, List<Signal> signals)
        throws Exception {
      long sigtermNanos = System.nanoTime() + millis(Math.max(0, -signals.get(0).atMillis()));
      Holds holds = new Holds();
      boolean isTerminated = false;
      for (Signal signal : signals) {
        long waitNanos = sigtermNanos + millis(signal.atMillis()) - System.nanoTime();
        if (node.awaitEnd(Math.max(0, TimeUnit.NANOSECONDS.toMillis(waitNanos)))) {
          return holds;
        }
        boolean isFirstTerm = signal.name().equals("TERM") && !isTerminated;
        if (isFirstTerm) {
          testbed.terminate(node);
          sigtermNanos = testbed.terminatedNanos();
          isTerminated = true;
        } else {
          DeployFile.sendSignal(node.process(), signal.name());
        }
        holds.signalSent(signal.name(), System.nanoTime());
      }
      return holds;
    }

    private static long millis(long millis) {
      return TimeUnit.MILLISECONDS.toNanos(millis);
    }
  }
}
