package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.config.OperatorFile;
import shalepaddle.engine.Call;
import shalepaddle.engine.Engine;
import shalepaddle.engine.Payload;
import shalepaddle.engine.Reply;
import shalepaddle.model.Request;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.testkit.ScriptedPeer;

/** Tests that a node coalesces reads of one key by many clients, over loopback sockets. */
class CoalescingNodeTest {
  private static final OperatorFile COALESCING_ENABLED =
      new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.DEFAULTS);

  private NodeFixture rig;

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private List<ScriptedPeer> connectClients(int count) throws Exception {
    List<ScriptedPeer> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(rig.connectClient());
    }
    return clients;
  }

  /** Sends a read of one key from each client, and waits until all of them are waiters. */
  private void readFromAll(List<ScriptedPeer> clients) throws Exception {
    for (int i = 0; i < clients.size(); i++) {
      clients.get(i).write(NodeFixture.readCommand("r" + i, 2000));
    }
    awaitWaiters(clients.size());
  }

  private void awaitWaiters(int count) throws Exception {
    for (int i = 0; i < 500 && coalescingSnapshot().waiters() != count; i++) {
      rig.awaitLoopTurns();
    }
    assertEquals(count, coalescingSnapshot().waiters());
  }

  private CoalescingSnapshot coalescingSnapshot() throws Exception {
    return rig.node.loop().submit(() -> rig.node.dispatcher().coalescingSnapshot()).get();
  }

  @Test
  void coalescesReadsOfOneKeyAndAnswersEachClient() throws Exception {
    rig = new NodeFixture("", COALESCING_ENABLED);
    List<ScriptedPeer> clients = connectClients(100);
    readFromAll(clients);
    ScriptedPeer cache = rig.acceptCache();
    String line = cache.readLine();
    assertTrue(line.matches("mg key v Or\\d+ Pc=read,d=\\d+"), line);
    String idToken = line.split(" ", 0)[3];
    cache.write("VA 5 " + idToken + " h0\r\nabcde\r\n");
    for (int i = 0; i < 100; i++) {
      assertEquals("VA 5 Or" + i, clients.get(i).readLine());
      assertEquals("abcde", clients.get(i).readLine());
    }
    rig.awaitLoopTurns();
    CoalescingSnapshot snapshot = coalescingSnapshot();
    assertEquals(new CoalescingSnapshot(1, 99, 0, 99, 0, 0, 0, 0, 0), snapshot);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
  void keepsFetchWhenFirstClientDisconnects(int lastReadBeforeDisconnect) throws Exception {
    rig = new NodeFixture("", COALESCING_ENABLED);
    ScriptedPeer firstClient = rig.connectClient();
    firstClient.write(NodeFixture.readCommand("first", 2000));
    awaitWaiters(1);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().contains(" Ofirst "));
    List<ScriptedPeer> otherClients = connectClients(10);
    for (int i = 0; i < 10; i++) {
      otherClients.get(i).write(NodeFixture.readCommand("r" + i, 2000));
      awaitWaiters(
          i < lastReadBeforeDisconnect ? i + 2 : i + 1 + (i == lastReadBeforeDisconnect ? 1 : 0));
      if (i == lastReadBeforeDisconnect) {
        firstClient.close();
        awaitWaiters(i + 1);
      }
    }
    cache.write("VA 2 Ofirst h0\r\nok\r\n");
    for (int i = 0; i < 10; i++) {
      assertEquals("VA 2 Or" + i, otherClients.get(i).readLine());
      assertEquals("ok", otherClients.get(i).readLine());
    }
    assertEquals(1, coalescingSnapshot().startedFlights());
  }

  @Test
  void coalescesReadsOfDifferentFronts() throws Exception {
    rig = new NodeFixture("", COALESCING_ENABLED);
    ScriptedPeer client = rig.connectClient();
    client.write(NodeFixture.readCommand("socket", 2000));
    awaitWaiters(1);
    BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    Request sameRead = new Request("call", "key", "read", null, 2, 0, 0, false, false);
    Engine.Ticket ticket = rig.node.engine().submit(new Call(sameRead, Payload.NONE, replies::add));
    awaitWaiters(2);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().contains(" Osocket "));
    cache.write("VA 2 Osocket\r\nok\r\n");
    assertEquals("VA 2 Osocket", client.readLine());
    Reply reply = replies.poll(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    Reply.Value served = assertInstanceOf(Reply.Value.class, reply);
    assertEquals("ok", served.value().toString(StandardCharsets.US_ASCII));
    served.value().release();
    ticket.cancel();
    assertNull(replies.poll());
  }

  /**
   * Coalescing is off in {@code deploy/operator.toml}. The platform that this file is for counts a
   * response to a client only if a cache server sent it for that very request; a read answered with
   * the response to another read counts as lost.
   */
  @Test
  void doesNotCoalesceWithDeployedOperatorFile() throws Exception {
    rig = new NodeFixture("", OperatorFile.load("deploy/operator.toml"));
    assertNull(coalescingSnapshot());
    List<ScriptedPeer> clients = connectClients(2);
    for (int i = 0; i < 2; i++) {
      clients.get(i).write(NodeFixture.readCommand("r" + i, 2000));
    }
    // The policy does not know the key, so it delays the second read until the first one ends.
    ScriptedPeer cache = rig.acceptCache();
    for (int i = 0; i < 2; i++) {
      String idToken = cache.readLine().split(" ", 0)[3];
      cache.write("VA 2 " + idToken + " h0\r\nok\r\n");
    }
    for (int i = 0; i < 2; i++) {
      assertEquals("VA 2 Or" + i, clients.get(i).readLine());
    }
  }
}
