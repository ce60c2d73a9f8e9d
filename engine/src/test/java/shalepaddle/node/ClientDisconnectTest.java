package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.testkit.ScriptedPeer;

/**
 * A request whose client has left while it waited is not sent on. Each way of waiting is met by
 * 1,000 requests whose clients leave; what reaches the server after that, and before a request that
 * is asked later, is counted. Attempts may not be called off in this deployment: what has not gone
 * out needs no calling off.
 */
@Timeout(60)
class ClientDisconnectTest {
  private static final int BATCHES = 5;
  private static final int BATCH = 200;

  /** One connection to the server, with one request at a time, which may come up late. */
  private static final String ONE_PLACE =
      """
      ,"instances":28,"caps":{"attempts-cap":3,"cancel":false,"parallel-tries":false,\
      "multiplex":1,"connect-timeout":8,"conn-idle":60}""";

  /** Many requests to a connection, and more than one attempt. */
  private static final String SHARED =
      """
      ,"instances":28,"caps":{"attempts-cap":3,"cancel":%b,"parallel-tries":true,\
      "multiplex":400,"connect-timeout":8,"conn-idle":60}""";

  private static final int MILLIS = 30_000;

  private NodeFixture rig;
  private int asked;

  @AfterEach
  void end() throws IOException {
    rig.close();
  }

  /**
   * A node that sheds no load: a request that is shed does not wait, and could not be forwarded.
   */
  private static NodeFixture fixture(String settings) throws Exception {
    return new NodeFixture(
        settings, new OperatorFile(OverloadConfig.DISABLED, CoalescingConfig.OFF));
  }

  private String next() {
    return "r" + asked++;
  }

  /** So many clients with a request each. */
  private List<ScriptedPeer> ask(int many) throws IOException {
    List<ScriptedPeer> clients = new ArrayList<>();
    for (int i = 0; i < many; i++) {
      clients.add(rig.client().write(NodeFixture.get(next(), MILLIS)));
    }
    return clients;
  }

  private void leave(List<ScriptedPeer> clients) throws Exception {
    for (ScriptedPeer client : clients) {
      client.close();
    }
    noticed();
  }

  /** Returns once the node knows that they have left, or after the time in which it has to. */
  private void noticed() throws Exception {
    long since = System.nanoTime();
    Callable<Integer> open = rig.node.dispatcher()::openRequests;
    while (rig.node.loop().submit(open).get() > 1 && System.nanoTime() - since < 300_000_000) {
      rig.settled();
    }
  }

  private static void serve(ScriptedPeer cache, String line) throws IOException {
    String id = line.replaceAll(".* O(\\S+) .*", "$1");
    cache.write("VA 1 O" + id + "\r\nx\r\n");
  }

  /** Asks once more; how many others reach the server before that does. */
  private int sentBefore(ScriptedPeer cache) throws Exception {
    String last = next();
    ScriptedPeer client = rig.client().write(NodeFixture.get(last, MILLIS));
    int others = 0;
    for (String line = cache.line(); ; line = cache.line()) {
      assertTrue(line != null, "the connection ended");
      serve(cache, line);
      if (line.contains("O" + last + " ")) {
        assertEquals("VA 1 O" + last, client.line());
        client.close();
        return others;
      }
      others++;
    }
  }

  @Test
  void noneThatWaitsForAPlaceIsSentOn() throws Exception {
    rig = fixture(ONE_PLACE);
    int sent = 0;
    ScriptedPeer cache = null;
    for (int batch = 0; batch < BATCHES; batch++) {
      ScriptedPeer first = rig.client().write(NodeFixture.get(next(), MILLIS));
      cache = cache == null ? rig.acceptCache() : cache;
      String underWay = cache.line();
      List<ScriptedPeer> waiting = ask(BATCH);
      rig.settled();
      leave(waiting);
      serve(cache, underWay);
      first.line();
      sent += sentBefore(cache);
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }

  /** Connections that nobody accepts, until one more would have to wait as well. */
  private static List<Socket> fill(ServerSocket server) throws IOException {
    List<Socket> fillers = new ArrayList<>();
    while (true) {
      Socket filler = new Socket();
      try {
        filler.connect(server.getLocalSocketAddress(), 100);
        fillers.add(filler);
      } catch (SocketTimeoutException e) {
        return fillers;
      }
    }
  }

  @Test
  void noneThatWaitsForAConnectionThatComesUpLateIsSentOn() throws Exception {
    rig = fixture(ONE_PLACE);
    List<Socket> fillers = fill(rig.cache);
    List<ScriptedPeer> waiting = ask(BATCH);
    // One that leaves after it has waited, the same as one that leaves at once.
    rig.settled();
    for (int batch = 1; batch < BATCHES; batch++) {
      leave(waiting);
      waiting = ask(BATCH);
      rig.settled();
    }
    leave(waiting);
    for (Socket filler : fillers) {
      rig.cache.accept().close();
      filler.close();
    }
    // Those that came before the node's own are ended by now.
    ScriptedPeer cache = rig.acceptCache();
    assertEquals(0, sentBefore(cache), "of " + BATCHES * BATCH);
  }

  @Test
  void noneThatWaitsBehindBytesThatTheKernelDidNotTakeIsSentOn() throws Exception {
    rig = fixture(SHARED.formatted(false));
    int length = 4 << 20;
    ScriptedPeer first = rig.client().write(NodeFixture.put("w", MILLIS, "v".repeat(length)));
    // It reads nothing yet.
    ScriptedPeer cache = rig.acceptCache();
    rig.settled();
    for (int batch = 0; batch < BATCHES; batch++) {
      List<ScriptedPeer> waiting = ask(BATCH);
      rig.settled();
      leave(waiting);
    }
    assertTrue(cache.line().startsWith("ms "));
    cache.bytes(length + 2);
    cache.write("HD Ow c1\r\n");
    assertEquals("HD Ow c1", first.line());
    assertEquals(0, sentBefore(cache), "of " + BATCHES * BATCH);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void noneIsTriedAgain(boolean cancel) throws Exception {
    int sent = 0;
    for (int batch = 0; batch < BATCHES; batch++) {
      // A new one: a server that has lost so many is not asked for a while.
      rig = fixture(SHARED.formatted(cancel));
      List<ScriptedPeer> waiting = ask(BATCH);
      ScriptedPeer cache = rig.acceptCache();
      for (int i = 0; i < BATCH; i++) {
        cache.line();
      }
      leave(waiting);
      cache.reset();
      rig.settled();
      sent += sentOnNext();
      rig.close();
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }

  /** The same on whatever connection comes next, which is then closed. */
  private int sentOnNext() throws Exception {
    ScriptedPeer client = rig.client().write(NodeFixture.get("last" + asked, MILLIS));
    ScriptedPeer cache = rig.acceptCache();
    int others = 0;
    String line = cache.line();
    for (; !line.contains("Olast" + asked + " "); line = cache.line()) {
      serve(cache, line);
      others++;
    }
    serve(cache, line);
    client.line();
    client.close();
    cache.close();
    rig.settled();
    return others;
  }

  @Test
  void noneIsSentOnWhoseConnectionIsNotReadFromForTheAnswersItIsOwed() throws Exception {
    rig = fixture(ONE_PLACE);
    int sent = 0;
    ScriptedPeer cache = null;
    int pipelined = 100;
    for (int batch = 0; batch < BATCHES; batch++) {
      ScriptedPeer first = rig.client().write(NodeFixture.get(next(), MILLIS));
      cache = cache == null ? rig.acceptCache() : cache;
      String underWay = cache.line();
      List<ScriptedPeer> waiting = new ArrayList<>();
      for (int i = 0; i < BATCH / pipelined; i++) {
        ScriptedPeer client = rig.client();
        waiting.add(client);
        for (int j = 0; j < pipelined; j++) {
          client.write(NodeFixture.get(next(), MILLIS));
          if (j == 70) {
            // What follows is not taken: so many answers are owed.
            rig.settled();
          }
        }
      }
      rig.settled();
      leave(waiting);
      serve(cache, underWay);
      first.line();
      sent += sentBefore(cache);
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }

  @Test
  void noneIsSentOnBehindAnErrorOnItsConnection() throws Exception {
    rig = fixture(ONE_PLACE);
    int sent = 0;
    ScriptedPeer cache = null;
    for (int batch = 0; batch < BATCHES; batch++) {
      ScriptedPeer first = rig.client().write(NodeFixture.get(next(), MILLIS));
      cache = cache == null ? rig.acceptCache() : cache;
      String underWay = cache.line();
      List<ScriptedPeer> waiting = ask(BATCH);
      for (int i = 0; i < BATCH; i++) {
        // Either what makes the connection rest, or what ends all reading on it.
        waiting.get(i).write(i % 2 == 0 ? "what\r\n" : "ms key -1 Ox Pc=put\r\n");
      }
      rig.settled();
      leave(waiting);
      serve(cache, underWay);
      first.line();
      sent += sentBefore(cache);
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }

  /** Few are accepted and read in the first turns after the stall, many are not. */
  @ParameterizedTest
  @ValueSource(ints = {BATCH / 5, BATCH})
  void noneThatCameAndLeftWhileTheLoopStoodStillIsSentOn(int batchSize) throws Exception {
    rig = fixture(ONE_PLACE);
    ScriptedPeer first = rig.client().write(NodeFixture.get(next(), MILLIS));
    ScriptedPeer cache = rig.acceptCache();
    serve(cache, cache.line());
    first.line();
    int sent = 0;
    for (int batch = 0; batch < BATCHES * BATCH / batchSize; batch++) {
      rig.pausedWhile(
          () -> {
            for (ScriptedPeer client : ask(batchSize)) {
              client.close();
            }
            // Long enough for a pause.
            Thread.sleep(50);
          });
      noticed();
      sent += sentBefore(cache);
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }

  @Test
  void noneIsSentOnForJoinedReadsThatAllHaveLeft() throws Exception {
    rig =
        new NodeFixture(
            ONE_PLACE, new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.DEFAULTS));
    int sent = 0;
    ScriptedPeer cache = null;
    for (int batch = 0; batch < BATCHES; batch++) {
      // A write is never joined.
      ScriptedPeer first = rig.client().write(NodeFixture.put(next(), MILLIS, "v"));
      cache = cache == null ? rig.acceptCache() : cache;
      String underWay = cache.line();
      cache.line();
      List<ScriptedPeer> waiting = ask(BATCH);
      rig.settled();
      leave(waiting);
      String id = underWay.replaceAll(".* O(\\S+) .*", "$1");
      cache.write("HD O" + id + " c1\r\n");
      first.line();
      sent += sentBefore(cache);
    }
    assertEquals(0, sent, "of " + BATCHES * BATCH);
  }
}
