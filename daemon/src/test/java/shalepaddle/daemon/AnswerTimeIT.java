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
 * A request's time counts from when its client sends it: the real process answers by then, whatever
 * made it read the request late. Its cache servers never answer, unless a test says so.
 */
@Timeout(60)
class AnswerTimeIT {
  /** The protocol's own slack on each time limit. */
  private static final long SLACK_MILLIS = 50;

  private static final int NEVER_MILLIS = 600_000;

  /** Clients may hold a third of these for requests. */
  private static final int SOCKETS = 120;

  @TempDir private Path folder;
  private Fleet fleet;
  private StoppableNode node;
  private final List<ScriptedPeer> clients = new ArrayList<>();

  @BeforeEach
  void start() throws Exception {
    start(3, NEVER_MILLIS, SOCKETS);
  }

  /** Servers that answer after so long, and a node that may hold so many descriptors. */
  private void start(int servers, int millis, int sockets) throws Exception {
    fleet = new Fleet(servers, Integer.MAX_VALUE, millis);
    node = new StoppableNode(folder, fleet, sockets);
    // The first request of a process costs more than the others.
    ScriptedPeer first = connect();
    first.write(read("warm", 300, ""));
    first.line();
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

  private static String read(String id, int deadlineMillis, String more) {
    return "mg key-%s v O%s Pc=read,d=%d%s\r\n".formatted(id, id, deadlineMillis, more);
  }

  private static String write(String id, int deadlineMillis) {
    return "ms key-%s 5 O%s Pc=put,d=%d\r\nvalue\r\n".formatted(id, id, deadlineMillis);
  }

  /** Retries are counted in turns of 100 ms of the system's monotonic clock, which Java shares. */
  private static void awaitStartOfTurn() throws InterruptedException {
    long turnNanos = TimeUnit.MILLISECONDS.toNanos(100);
    TimeUnit.NANOSECONDS.sleep(turnNanos - Math.floorMod(System.nanoTime(), turnNanos));
  }

  private static long millisSince(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos);
  }

  private static void assertInTime(long tookMillis, int deadlineMillis) {
    assertTrue(
        tookMillis <= deadlineMillis + SLACK_MILLIS,
        "answered after %d ms of %d".formatted(tookMillis, deadlineMillis));
  }

  @ParameterizedTest
  @ValueSource(ints = {100, 400})
  void answersInTimeAfterAnErrorOnTheConnection(int deadlineMillis) throws Exception {
    ScriptedPeer client = connect();
    client.write("mg key v\r\n");
    assertTrue(client.line().startsWith("CLIENT_ERROR"));
    TimeUnit.MILLISECONDS.sleep(20);
    long sentAt = System.nanoTime();
    client.write(read("a", deadlineMillis, ""));
    assertTrue(client.line().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAt), deadlineMillis);
  }

  /** Reads that wait at hung servers take the places of clients, so that retries are rejected. */
  @Test
  void answersInTimeBehindRetriesThatCameTooSoon() throws Exception {
    int busy = (int) Math.ceil(0.85 * SOCKETS / 3);
    for (int i = 0; i < busy; i++) {
      connect().write(read("busy" + i, 2000, ""));
    }
    ScriptedPeer client = connect();
    TimeUnit.MILLISECONDS.sleep(100);
    awaitStartOfTurn();
    for (int i = 0; i < 3; i++) {
      client.write(read("retry" + i, 2000, ",r=1"));
      assertTrue(client.line().startsWith("SERVER_ERROR busy"));
    }
    long sentAt = System.nanoTime();
    client.write(write("a", 100));
    assertTrue(client.line().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAt), 100);
  }

  @Test
  void answersAPipelinePastTheBoundOnAnswersOwedInTime() throws Exception {
    stop();
    start(4, 150, 512);
    ScriptedPeer client = connect();
    StringBuilder commands = new StringBuilder();
    for (int i = 0; i < 300; i++) {
      commands.append(read("p" + i, 400, ""));
    }
    long sentAt = System.nanoTime();
    client.write(commands.toString());
    long last = 0;
    for (int i = 0; i < 300; i++) {
      String line = client.line();
      if (line.startsWith("VA ")) {
        client.line();
      }
      last = millisSince(sentAt);
    }
    assertInTime(last, 400);
  }

  /** What arrives while the process is stopped may have been sent as the stop began. */
  @Test
  void countsARequestsTimeThroughAStopOfTheProcess() throws Exception {
    ScriptedPeer client = connect();
    node.stop();
    TimeUnit.MILLISECONDS.sleep(20);
    long sentAt = System.nanoTime();
    client.write(read("a", 400, ""));
    TimeUnit.MILLISECONDS.sleep(280);
    node.resume();
    assertTrue(client.line().startsWith("SERVER_ERROR"));
    assertInTime(millisSince(sentAt), 400);
  }

  /** A refusal is the only answer to each: nothing follows it. */
  @Test
  void givesOneAnswerToARequestWhoseTimeRanOutUnread() throws Exception {
    try (Socket socket = new Socket(node.address().getAddress(), node.address().getPort())) {
      node.stop();
      socket.getOutputStream().write(read("late", 50, "").getBytes(StandardCharsets.US_ASCII));
      TimeUnit.MILLISECONDS.sleep(200);
      node.resume();
      socket.setSoTimeout(500);
      assertTrue(Fleet.line(socket.getInputStream()).startsWith("SERVER_ERROR"));
      boolean more = true;
      try {
        socket.getInputStream().read();
      } catch (SocketTimeoutException e) {
        more = false;
      }
      assertEquals(false, more, "more than one answer");
    }
  }
}
