package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** No attempt may begin after its client has closed the connection, whatever is left unread. */
@Timeout(90)
class ClosedConnectionIT {
  private static final int CLIENT_COUNT = 8;
  private static final int ROUNDS = 2;
  private static final int OPEN_MILLIS = 100;

  /** The slack on an answer's time, and time for the last answers to be read. */
  private static final int ANSWER_SLACK_MILLIS = 50 + 200;

  private static final long SEED = 69;

  @TempDir private Path folder;
  private BurstTestbed testbed;

  @BeforeEach
  void startNode() throws Exception {
    testbed = new BurstTestbed(folder, SEED);
    testbed.startNode();
  }

  @AfterEach
  void stop() {
    testbed.close();
  }

  private List<Future<BurstClient>> startBursts(
      BurstTestbed.Kind kind, int clientCount, int requests, BurstClient.Ending ending) {
    List<Future<BurstClient>> running = new ArrayList<>();
    for (int i = 0; i < clientCount; i++) {
      BurstTestbed.Burst burst = testbed.burst(kind, requests);
      running.add(testbed.start(() -> testbed.sendAndEnd(burst, OPEN_MILLIS, ending)));
    }
    return running;
  }

  /** Lets the time of all requests pass, and checks when their attempts began. */
  private void assertNothingSentAfterEnd(List<BurstClient> clients) throws Exception {
    TimeUnit.MILLISECONDS.sleep(BurstTestbed.DEADLINE_MILLIS);
    assertEquals(List.of(), testbed.attemptsOf(clients).late());
  }

  @ParameterizedTest
  @CsvSource({
    "READS, 20, CLOSE",
    "READS, 300, CLOSE",
    "READS, 300, SHUT_DOWN_OUTPUT",
    "READS, 300, RESET",
    "READS, 4000, SHUT_DOWN_OUTPUT",
    "RETRIES, 300, SHUT_DOWN_OUTPUT",
    "WRITES, 300, SHUT_DOWN_OUTPUT",
    "LARGE_WRITES, 40, SHUT_DOWN_OUTPUT",
    "ERRORS_AFTER_READS, 200, SHUT_DOWN_OUTPUT",
    "HALF_WRITE, 40, SHUT_DOWN_OUTPUT",
  })
  void nothingIsSentOnAfterClientClosedWithMuchUnread(
      BurstTestbed.Kind kind, int requests, BurstClient.Ending ending) throws Exception {
    List<BurstClient> clients = new ArrayList<>();
    for (int round = 0; round < ROUNDS; round++) {
      clients.addAll(BurstTestbed.awaitAll(startBursts(kind, CLIENT_COUNT, requests, ending)));
      assertNothingSentAfterEnd(clients);
    }
  }

  /** More clients than the memory for what is read ahead has room for. */
  @Test
  void nothingIsSentOnAfterClientsClosedWhenMemoryIsUsedUp() throws Exception {
    assertNothingSentAfterEnd(
        BurstTestbed.awaitAll(
            startBursts(BurstTestbed.Kind.READS, 40, 1200, BurstClient.Ending.SHUT_DOWN_OUTPUT)));
  }

  @ParameterizedTest
  @CsvSource({"READS, 20, 300", "READS, 300, 300", "READS, 300, 500", "WRITES, 300, 500"})
  void nothingIsSentOnAfterClientsClosedWhileProcessWasStopped(
      BurstTestbed.Kind kind, int requests, int stopMillis) throws Exception {
    List<Future<BurstClient>> running =
        startBursts(kind, CLIENT_COUNT, requests, BurstClient.Ending.SHUT_DOWN_OUTPUT);
    TimeUnit.MILLISECONDS.sleep(OPEN_MILLIS / 2);
    testbed.node().pauseFor(stopMillis);
    assertNothingSentAfterEnd(BurstTestbed.awaitAll(running));
  }

  @ParameterizedTest
  @CsvSource({"READS, 300", "WRITES, 300"})
  void nothingIsSentOnAfterClientsClosedDuringDrain(BurstTestbed.Kind kind, int requests)
      throws Exception {
    List<Future<BurstClient>> running = new ArrayList<>();
    testbed.node().terminate();
    for (int i = 0; i < 3; i++) {
      running.addAll(startBursts(kind, 2, requests, BurstClient.Ending.SHUT_DOWN_OUTPUT));
      TimeUnit.MILLISECONDS.sleep(OPEN_MILLIS);
    }
    assertNothingSentAfterEnd(BurstTestbed.awaitAll(running));
  }

  /** Guards against a write that runs again when its id comes once more after its client left. */
  @Test
  void writeRunsOnceWhenItsIdComesAgainAfterItsClientClosed() throws Exception {
    List<String> ids = new ArrayList<>();
    for (int round = 0; round < 2 * ROUNDS; round++) {
      List<Future<List<String>>> running = new ArrayList<>();
      for (int i = 0; i < CLIENT_COUNT; i++) {
        BurstTestbed.Burst burst = testbed.burst(BurstTestbed.Kind.WRITES, 60);
        ids.addAll(burst.ids());
        running.add(
            testbed.start(
                () -> {
                  testbed.sendAndEnd(burst, OPEN_MILLIS, BurstClient.Ending.SHUT_DOWN_OUTPUT);
                  return sendAndStay(burst);
                }));
      }
      BurstTestbed.awaitAll(running);
    }
    List<String> repeated = new ArrayList<>();
    int runIds = 0;
    for (String id : ids) {
      int effects = testbed.effects(id);
      runIds += Math.min(1, effects);
      if (effects > 1) {
        repeated.add(id);
      }
    }
    System.out.printf("%d ids, %d run, %d twice%n", ids.size(), runIds, repeated.size());
    assertEquals(List.of(), repeated);
  }

  private List<String> sendAndStay(BurstTestbed.Burst burst) throws Exception {
    return testbed.sendAndStay(burst, BurstTestbed.DEADLINE_MILLIS + ANSWER_SLACK_MILLIS);
  }

  /** The other side: a client that stays connected gets an answer to each request, in time. */
  @ParameterizedTest
  @CsvSource({"READS, 20", "READS, 300", "READS, 1000", "WRITES, 300"})
  void clientsThatStayAreAnswered(BurstTestbed.Kind kind, int requests) throws Exception {
    int served = 0;
    for (int round = 0; round < ROUNDS; round++) {
      List<Future<List<String>>> running = new ArrayList<>();
      for (int i = 0; i < CLIENT_COUNT; i++) {
        BurstTestbed.Burst burst = testbed.burst(kind, requests);
        running.add(testbed.start(() -> sendAndStay(burst)));
      }
      for (List<String> answers : BurstTestbed.awaitAll(running)) {
        assertEquals(requests, answers.size(), () -> "answers, the last: " + last(answers));
        served += (int) answers.stream().filter(ClosedConnectionIT::isServed).count();
      }
    }
    int sent = ROUNDS * CLIENT_COUNT * requests;
    System.out.printf("%d requests of clients that stayed, %d served%n", sent, served);
    assertTrue(served > 0, "none served");
  }

  private static boolean isServed(String answer) {
    return answer.startsWith("VA ") || answer.startsWith("HD ");
  }

  private static String last(List<String> answers) {
    return answers.isEmpty() ? "none" : answers.get(answers.size() - 1);
  }
}
