package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.testkit.ScriptedPeer;

/**
 * A request's deadline counts from when its client sends it: the real process answers in time even
 * if it reads the request late. Its cache servers never answer, unless a test sets an answer time.
 */
@Timeout(60)
class AnswerTimeIT {
  /** How much later than its deadline a request may be answered, by the protocol. */
  private static final long TOLERANCE_MILLIS = 50;

  /** An answer time for servers that must not answer: longer than any test runs. */
  private static final int NO_ANSWER_MILLIS = 600_000;

  /** Limit on the node's descriptors; client connections may use a third of them. */
  private static final int MAX_DESCRIPTORS = 120;

  @TempDir private Path folder;
  private Fleet fleet;
  private PausableNode node;
  private final List<ScriptedPeer> clients = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    start(3, NO_ANSWER_MILLIS, MAX_DESCRIPTORS);
  }

  /**
   * Starts servers and a node.
   *
   * @param answerMillis time that a server takes for a request
   * @param maxDescriptors limit on the node's descriptors
   */
  private void start(int serverCount, int answerMillis, int maxDescriptors) throws Exception {
    fleet = new Fleet(serverCount, Integer.MAX_VALUE, answerMillis);
    node = new PausableNode(folder, fleet, maxDescriptors);
    // The first request of a process takes longer than later ones, so it is sent before the test.
    ScriptedPeer warmupClient = connect();
    warmupClient.write(formatReadCommand("warm", 300, ""));
    warmupClient.readLine();
  }

  @AfterEach
  void stop() throws Exception {
    for (ScriptedPeer client : clients) {
      client.close();
    }
    node.close();
    fleet.close();
  }

  private ScriptedPeer connect() throws Exception {
    ScriptedPeer client = ScriptedPeer.connect(node.address());
    clients.add(client);
    return client;
  }

  private static String formatReadCommand(String id, int deadlineMillis, String moreFields) {
    return "mg key-%s v O%s Pc=read,d=%d%s\r\n".formatted(id, id, deadlineMillis, moreFields);
  }

  private static String formatWriteCommand(String id, int deadlineMillis) {
    return "ms key-%s 5 O%s Pc=put,d=%d\r\nvalue\r\n".formatted(id, id, deadlineMillis);
  }

  /**
   * Waits for the start of one of the 100 ms periods in which the node counts retries. The periods
   * are aligned with the system's monotonic clock, which this process shares.
   */
  private static void awaitStartOfRetryPeriod() throws InterruptedException {
    long periodNanos = TimeUnit.MILLISECONDS.toNanos(100);
    TimeUnit.NANOSECONDS.sleep(periodNanos - Math.floorMod(System.nanoTime(), periodNanos));
  }

  private static long millisSince(long startedAtNanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
  }

  private static void assertInTime(long answerMillis, int deadlineMillis) {
    assertTrue(
        answerMillis <= deadlineMillis + TOLERANCE_MILLIS,
        "request answered after %d ms, deadline %d ms".formatted(answerMillis, deadlineMillis));
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 400})
  void answersInTimeAfterInvalidCommandOnSameConnection(int deadlineMillis) throws Exception {
    ScriptedPeer client = connect();
    client.write("mg key v\r\n");
    assertTrue(client.readLine().startsWith("CLIENT_ERROR"));
    TimeUnit.MILLISECONDS.sleep(20);
    long sentAtNanos = System.nanoTime();
    client.write(formatReadCommand("a", deadlineMillis, ""));
    assertTrue(client.readLine().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAtNanos), deadlineMillis);
  }

  /** Reads that wait for hung servers use most client connections, so that retries are rejected. */
  @Test
  void answersWriteInTimeAfterRejectedRetries() throws Exception {
    int busyClients = (int) Math.ceil(0.85 * MAX_DESCRIPTORS / 3);
    for (int i = 0; i < busyClients; i++) {
      connect().write(formatReadCommand("busy" + i, 2000, ""));
    }
    ScriptedPeer client = connect();
    TimeUnit.MILLISECONDS.sleep(100);
    awaitStartOfRetryPeriod();
    for (int i = 0; i < 3; i++) {
      client.write(formatReadCommand("retry" + i, 2000, ",r=1"));
      assertTrue(client.readLine().startsWith("SERVER_ERROR busy"));
    }
    long sentAtNanos = System.nanoTime();
    client.write(formatWriteCommand("a", 100));
    assertTrue(client.readLine().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAtNanos), 100);
  }

  @Test
  void answersPipelineBeyondLimitOfUnansweredRequestsInTime() throws Exception {
    stop();
    start(4, 150, 512);
    ScriptedPeer client = connect();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < 300; i++) {
      commands.append(formatReadCommand("p" + i, 400, ""));
    }
    long sentAtNanos = System.nanoTime();
    client.write(commands.toString());
    long lastAnswerMillis = 0;
    for (int i = 0; i < 300; i++) {
      String line = client.readLine();
      if (line.startsWith("VA ")) {
        client.readLine();
      }
      lastAnswerMillis = millisSince(sentAtNanos);
    }
    assertInTime(lastAnswerMillis, 400);
  }

  /**
   * A node that was paused by SIGSTOP can't know when a request arrived in the meantime, so it
   * assumes that the request arrived at the start of the pause.
   */
  @Test
  void answersInTimeWhenRequestArrivesWhileNodeIsPaused() throws Exception {
    ScriptedPeer client = connect();
    node.pause();
    TimeUnit.MILLISECONDS.sleep(20);
    long sentAtNanos = System.nanoTime();
    client.write(formatReadCommand("a", 400, ""));
    TimeUnit.MILLISECONDS.sleep(280);
    node.resume();
    assertTrue(client.readLine().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAtNanos), 400);
  }

  /** A request whose deadline has expired must get no answer besides the refusal. */
  @Test
  void givesOneAnswerWhenDeadlineExpiresBeforeRead() throws Exception {
    try (Socket socket = new Socket(node.address().getAddress(), node.address().getPort())) {
      node.pause();
      socket
          .getOutputStream()
          .write(formatReadCommand("late", 50, "").getBytes(StandardCharsets.US_ASCII));
      TimeUnit.MILLISECONDS.sleep(200);
      node.resume();
      socket.setSoTimeout(500);
      assertTrue(Fleet.readLine(socket.getInputStream()).startsWith("SERVER_ERROR"));
      boolean hasReceivedMore = true;
      try {
        socket.getInputStream().read();
      } catch (SocketTimeoutException e) {
        hasReceivedMore = false;
      }
      assertEquals(false, hasReceivedMore, "bytes received after the only expected answer");
    }
  }
}
