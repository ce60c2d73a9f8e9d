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

/** Like reads of many clients, over sockets. */
class CoalescingNodeTest {
  private static final OperatorFile JOINING =
      new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.DEFAULTS);

  private NodeFixture rig;

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  private List<ScriptedPeer> clients(int count) throws Exception {
    List<ScriptedPeer> clients = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      clients.add(rig.client());
    }
    return clients;
  }

  /** Asks for the same key on each, and returns once all have been taken. */
  private void askAll(List<ScriptedPeer> clients) throws Exception {
    for (int i = 0; i < clients.size(); i++) {
      clients.get(i).write(NodeFixture.get("r" + i, 2000));
    }
    awaitWaiting(clients.size());
  }

  private void awaitWaiting(int count) throws Exception {
    for (int i = 0; i < 500 && reading().waiters() != count; i++) {
      rig.settled();
    }
    assertEquals(count, reading().waiters());
  }

  private CoalescingSnapshot reading() throws Exception {
    return rig.node.loop().submit(() -> rig.node.dispatcher().coalescingSnapshot()).get();
  }

  @Test
  void aHundredReadsOfAKeyAreOneFetchAndEachGetsItsOwnAnswer() throws Exception {
    rig = new NodeFixture("", JOINING);
    List<ScriptedPeer> clients = clients(100);
    askAll(clients);
    ScriptedPeer cache = rig.acceptCache();
    String line = cache.line();
    assertTrue(line.matches("mg key v Or\\d+ Pc=read,d=\\d+"), line);
    String id = line.split(" ", 0)[3];
    cache.write("VA 5 " + id + " h0\r\nabcde\r\n");
    for (int i = 0; i < 100; i++) {
      assertEquals("VA 5 Or" + i, clients.get(i).line());
      assertEquals("abcde", clients.get(i).line());
    }
    rig.settled();
    CoalescingSnapshot reading = reading();
    assertEquals(new CoalescingSnapshot(1, 99, 0, 99, 0, 0, 0, 0, 0), reading);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8, 9})
  void theFirstMayLeaveAtAnyPoint(int point) throws Exception {
    rig = new NodeFixture("", JOINING);
    ScriptedPeer first = rig.client();
    first.write(NodeFixture.get("first", 2000));
    awaitWaiting(1);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains(" Ofirst "));
    List<ScriptedPeer> others = clients(10);
    for (int i = 0; i < 10; i++) {
      others.get(i).write(NodeFixture.get("r" + i, 2000));
      awaitWaiting(i < point ? i + 2 : i + 1 + (i == point ? 1 : 0));
      if (i == point) {
        first.close();
        awaitWaiting(i + 1);
      }
    }
    cache.write("VA 2 Ofirst h0\r\nok\r\n");
    for (int i = 0; i < 10; i++) {
      assertEquals("VA 2 Or" + i, others.get(i).line());
      assertEquals("ok", others.get(i).line());
    }
    assertEquals(1, reading().flights());
  }

  @Test
  void callersOfTwoFrontsShareAFetch() throws Exception {
    rig = new NodeFixture("", JOINING);
    ScriptedPeer client = rig.client();
    client.write(NodeFixture.get("socket", 2000));
    awaitWaiting(1);
    BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    Request like = new Request("call", "key", "read", null, 2, 0, 0, false, false);
    Engine.Ticket ticket = rig.node.engine().submit(new Call(like, Payload.NONE, replies::add));
    awaitWaiting(2);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains(" Osocket "));
    cache.write("VA 2 Osocket\r\nok\r\n");
    assertEquals("VA 2 Osocket", client.line());
    Reply reply = replies.poll(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
    Reply.Value served = assertInstanceOf(Reply.Value.class, reply);
    assertEquals("ok", served.value().toString(StandardCharsets.US_ASCII));
    served.value().release();
    ticket.cancel();
    assertNull(replies.poll());
  }

  /** The file that is deployed: on the platform each request must have an answer of its own. */
  @Test
  void asDeployedNothingIsJoined() throws Exception {
    rig = new NodeFixture("", OperatorFile.load("deploy/operator.toml"));
    assertNull(reading());
    List<ScriptedPeer> clients = clients(2);
    for (int i = 0; i < 2; i++) {
      clients.get(i).write(NodeFixture.get("r" + i, 2000));
    }
    // The policy lets the second read of a key that it does not know wait for the first.
    ScriptedPeer cache = rig.acceptCache();
    for (int i = 0; i < 2; i++) {
      String id = cache.line().split(" ", 0)[3];
      cache.write("VA 2 " + id + " h0\r\nok\r\n");
    }
    for (int i = 0; i < 2; i++) {
      assertEquals("VA 2 Or" + i, clients.get(i).line());
    }
  }
}
