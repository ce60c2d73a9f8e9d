package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * The real process replaced by another, under load, on a platform that holds the listening socket:
 * no request is lost, no connection refused, whoever of the two dies or does not come up.
 */
@Timeout(180)
class UpgradeIT {
  private static final int UPGRADES = 20;

  /** Connections that each cache server holds, of both processes together. */
  private static final int PLACES = 6;

  @TempDir private Path folder;

  private int number;
  private long usedAtLast;

  /** One process and its door. */
  private record Node(Platform.Started process, InetSocketAddress door) {
    /** The status of a call, 0 where nobody answers. */
    int call(String call) throws IOException {
      return Integer.parseInt(answer(call + " HTTP/1.1\r\n\r\n", "0").split(" ", 0)[0]);
    }

    String answer(String call, String none) throws IOException {
      try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
        socket.setSoTimeout(2000);
        socket.getOutputStream().write(call.getBytes(StandardCharsets.US_ASCII));
        String all = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
        return all.isEmpty() ? none : all.substring(9);
      } catch (IOException e) {
        return none;
      }
    }

    Node awaitReady() throws Exception {
      while (call("GET /api/ready") != 200) {
        assertTrue(process.running(), "it ended before it was ready");
        Thread.sleep(20);
      }
      return this;
    }
  }

  private Node start(Platform platform, Fleet fleet, Map<String, String> changes) throws Exception {
    int port = DeployFile.freePort();
    Path config = folder.resolve("config.json");
    // What the environment says of one process goes before the file.
    String text = fleet.config(platform.address().getPort(), 512);
    Files.writeString(config, text.replaceFirst("\\{", "{\"management\":\"127.0.0.1:1\","));
    Map<String, String> environment = new HashMap<>();
    environment.put("PATH", System.getenv("PATH"));
    environment.put("ROUTER_CONFIG", config.toString());
    environment.put("ROUTER_LISTEN_FD", "0");
    environment.put("ROUTER_MANAGEMENT", "127.0.0.1:" + port);
    environment.put("TMPDIR", folder.toString());
    environment.putAll(changes);
    Platform.Started process =
        platform.start(DeployFile.shell("run"), environment, folder.resolve("log-" + number++));
    return new Node(process, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
  }

  private Node start(Platform platform, Fleet fleet) throws Exception {
    return start(platform, fleet, Map.of());
  }

  private String log(int process) throws IOException {
    return Files.readString(folder.resolve("log-" + process));
  }

  /** Waits for its end, and notes the processor time that it was last seen to have used. */
  private boolean awaitEnd(Platform.Started process, long millis) throws InterruptedException {
    for (long left = millis; left > 0 && process.running(); left -= 5) {
      usedAtLast = Math.max(process.processorMillis(), left == millis ? 0 : usedAtLast);
      Thread.sleep(5);
    }
    return !process.running();
  }

  @Test
  void losesNothingInTwentyUpgrades() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4, PLACES, 50)) {
      Node node = start(platform, fleet).awaitReady();
      try (ClosedLoopClients callers = new ClosedLoopClients(platform.address(), 60, 1_000_000)) {
        callers.await(300);
        long most = 0;
        long mostEnding = 0;
        for (int i = 0; i < UPGRADES; i++) {
          Node next = start(platform, fleet).awaitReady();
          most =
              Math.max(
                  most, node.process().residentKilobytes() + next.process().residentKilobytes());
          long before = node.process().processorMillis();
          node.process().signal(Platform.TERM);
          // By then the platform kills it: the longest deadline, and 0.7 s.
          assertTrue(awaitEnd(node.process(), 2700), "the old process goes on");
          mostEnding = Math.max(mostEnding, usedAtLast - before);
          assertTrue(log(i).contains("handing over") && log(i).endsWith("drained\n"), log(i));
          assertTrue(log(i + 1).contains("warm start: replayed "), log(i + 1));
          node = next;
        }
        callers.finish();
        assertTrue(callers.await(20_000));
        callers.assertAllAnswered(0, fleet);
        assertTrue(callers.crossed() <= 2 * UPGRADES, callers.crossed() + " crossed an end");
        assertTrue(most < 220_000, most + " kB in two processes");
        String seen =
            "%d refused of %d, %d connections turned down, %d ms at most used by an ending process"
                .formatted(callers.refused(), callers.answered(), fleet.turnedDown(), mostEnding);
        System.out.println(seen);
        assertTrue(callers.refused() <= callers.answered() / 80, seen);
        assertTrue(mostEnding < 1000, seen);
      }
    }
  }

  @Test
  void theOldOneGoesOnWhereTheNewOneDiesOrDoesNotStart() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4)) {
      Node node = start(platform, fleet).awaitReady();
      try (ClosedLoopClients callers = new ClosedLoopClients(platform.address(), 60, 1_000_000)) {
        Node wrong = start(platform, fleet, Map.of("ROUTER_LISTEN_FD", "7"));
        assertTrue(wrong.process().awaitEnd(20_000));
        assertTrue(log(1).contains("ROUTER_LISTEN_FD names descriptor '7'"), log(1));
        wrong = start(platform, fleet, Map.of("ROUTER_MANAGEMENT", address(node.door())));
        assertTrue(wrong.process().awaitEnd(20_000));
        assertTrue(log(2).contains("cannot listen on"), log(2));
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 4; i++) {
          Node killed = start(platform, fleet);
          Thread.sleep(random.nextInt(700));
          killed.process().signal(Platform.KILL);
          assertTrue(killed.process().awaitEnd(5000));
        }
        assertTrue(node.process().running());
        assertEquals(200, node.call("GET /api/ready"));
        callers.finish();
        assertTrue(callers.await(20_000));
        // What a killed process had taken is its clients' to ask again.
        callers.assertNoneLeftWaiting(fleet);
      }
    }
  }

  @Test
  void operatorsWordsHoldInBothProcessesWhicheverHeardThem() throws Exception {
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(4)) {
      Node old = start(platform, fleet).awaitReady();
      assertEquals(200, old.call("PUT /api/exclude?member=s-1"));
      Node next = start(platform, fleet).awaitReady();
      awaitEjected(next, 1);
      assertEquals(200, next.call("PUT /api/exclude?member=s-2"));
      awaitEjected(old, 2);
      assertEquals(200, old.call("PUT /api/include?member=s-1"));
      awaitEjected(next, 1);
      // A process that is killed has told; one that comes later than that begins with it.
      old.process().signal(Platform.KILL);
      next.process().signal(Platform.KILL);
      assertTrue(old.process().awaitEnd(5000) && next.process().awaitEnd(5000));
      Node last = start(platform, fleet).awaitReady();
      awaitEjected(last, 1);
      assertEquals(200, last.call("PUT /api/include?member=s-2"));
      awaitEjected(last, 0);
    }
  }

  @Test
  void filesThatAreStaleOrDamagedDelayNobody() throws Exception {
    Files.writeString(folder.resolve("shalepaddle-1.process"), "shalepaddle-process-1 9 0\nhalf");
    Files.writeString(folder.resolve("shalepaddle-2.process"), "from another version");
    Files.createDirectory(folder.resolve("shalepaddle-3.process"));
    try (Platform platform = new Platform();
        Fleet fleet = new Fleet(2)) {
      Node node = start(platform, fleet).awaitReady();
      // Nobody takes over: it drains as ever, and accepts meanwhile.
      node.process().signal(Platform.TERM);
      assertFalse(node.process().awaitEnd(1000), "it ended at once");
      assertTrue(node.process().awaitEnd(2700));
      assertTrue(log(0).contains("draining") && log(0).endsWith("drained\n"), log(0));
    }
  }

  private static String address(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  private static void awaitEjected(Node node, int count) throws Exception {
    for (int i = 0; i < 200; i++) {
      String text = node.answer("GET /api/telemetry HTTP/1.1\r\n\r\n", "");
      if (text.contains("\napp_ejected " + count + "\n")) {
        return;
      }
      Thread.sleep(20);
    }
    throw new AssertionError("never " + count + " ejected");
  }
}
