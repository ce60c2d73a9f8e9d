package shalepaddle.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ManualIoEventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.local.LocalAddress;
import io.netty.channel.local.LocalIoHandler;
import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Sends protocol bytes to a stand-in server, and checks its responses and injected faults. */
class StandInServerTest {
  private final MockTicker ticker = Ticker.newMockTicker();
  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
  private final LoopbackTransport transport =
      LoopbackTransport.local(loop, new UnpooledByteBufAllocator(false, true));
  private final EffectLog effectLog = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final StandInOrigin origin = new StandInOrigin(transport, 1, 4, 0.02);
  private final StandInServer server = startServer("s1", ServerModel.defaults());

  private StandInServer startServer(String id, ServerModel model) {
    StandInServer server =
        new StandInServer(transport, id, "a", model, origin, effectLog, fleet, 7);
    server.start();
    advance(1);
    return server;
  }

  private void advance(int millis) {
    for (int i = 0; i < millis; i++) {
      while (loop.runNow() > 0) {
        // Runs until no work is left at the current time.
      }
      ticker.advanceMillis(1);
    }
  }

  /** A load balancer's end of a connection. */
  private final class Node extends SimpleChannelInboundHandler<ByteBuf> {
    final StringBuilder receivedText = new StringBuilder();
    final Channel channel;

    Node(StandInServer target) {
      channel =
          transport
              .connector()
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(Node.this);
                    }
                  })
              .connect(new LocalAddress(target.address()))
              .channel();
      advance(1);
    }

    Node send(String text) {
      ByteBuf bytes = channel.alloc().buffer();
      bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
      channel.writeAndFlush(bytes);
      advance(100);
      return this;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      receivedText.append(bytes.toString(StandardCharsets.ISO_8859_1));
    }
  }

  private static String readCommand(String id) {
    return "mg key v O" + id + " Pc=read,d=500\r\n";
  }

  private static String writeCommand(String id, String extraProperties) {
    return "ms key 5 O" + id + " Pc=put,d=500" + extraProperties + "\r\nvalue\r\n";
  }

  @Test
  void fetchesOnMissAndServesNextReadFromCache() {
    Node node = new Node(server).send(readCommand("a1")).send(readCommand("a2"));
    assertEquals(
        "VA 16 Oa1 h0\r\nkey|a1..........\r\nVA 16 Oa2 h1\r\nkey|a2..........\r\n",
        node.receivedText.toString());
    assertEquals(1, origin.fetches("key"));
  }

  @Test
  void fetchesTwiceOnConcurrentMissesOfOneKey() {
    new Node(server).send(readCommand("a1") + readCommand("a2"));
    assertEquals(2, origin.fetches("key"));
  }

  @Test
  void writeTakesEffectOnceAndRemovesCopiesAtAllServers() {
    StandInServer otherServer = startServer("s2", ServerModel.defaults());
    Node node = new Node(otherServer).send(readCommand("a1"));
    Node writingNode = new Node(server).send(writeCommand("w1", ""));
    assertEquals(
        "HD Ow1 c" + effectLog.entryOf("w1").receipt() + "\r\n",
        writingNode.receivedText.toString());
    assertEquals(1, effectLog.entryOf("w1").effectCount());
    node.send(readCommand("a2"));
    assertEquals(2, origin.fetches("key"));
  }

  @Test
  void dropsRepeatsOfWriteWithIdempotencyKeyOnlyWithinWindow() {
    Node node =
        new Node(server).send(writeCommand("w1", ",k=5c0f")).send(writeCommand("w1", ",k=5c0f"));
    assertEquals(1, effectLog.entryOf("w1").effectCount());
    advance(6000);
    node.send(writeCommand("w1", ",k=5c0f"));
    assertEquals(2, effectLog.entryOf("w1").effectCount());
    new Node(server).send(writeCommand("w2", "")).send(writeCommand("w2", ""));
    assertEquals(2, effectLog.entryOf("w2").effectCount());
  }

  @ParameterizedTest
  @CsvSource({
    "CLOSE_BEFORE_RESPONSE, '', false, 1",
    "CLOSE_WITHIN_RESPONSE, 'HD O', false, 1",
    "CLOSE_AFTER_RESPONSE, 'HD Ow1 c', false, 1",
    "HALF_RESPONSE, 'HD O', true, 1",
    "STALL, '', true, 1",
    "WRONG_ID, 'HD Oother c', true, 1",
    "OVERSIZED_RESPONSE, 'VA 3221225472 Ow1', true, 1",
    "ERROR, 'SERVER_ERROR failed', true, 1",
    "BUSY, 'SERVER_ERROR busy', true, 0",
  })
  void injectFaultChangesResponseToWrite(
      Fault fault, String expectedPrefix, boolean expectedConnectionOpen, int expectedEffects) {
    server.injectFault(fault, 1);
    Node node = new Node(server).send(writeCommand("w1", ""));
    assertTrue(
        node.receivedText.toString().startsWith(expectedPrefix), node.receivedText.toString());
    assertEquals(expectedPrefix.isEmpty(), node.receivedText.isEmpty());
    assertEquals(expectedConnectionOpen, node.channel.isActive());
    assertEquals(expectedEffects, effectLog.entryOf("w1").effectCount());
  }

  @Test
  void injectFaultSendsResponseTwiceOrWithTrailingGarbage() {
    server.injectFault(Fault.DUPLICATE_RESPONSE, 1);
    String oneResponse = "HD Ow1 c1\r\n";
    assertEquals(
        oneResponse + oneResponse,
        new Node(server).send(writeCommand("w1", "")).receivedText.toString());
    server.clearFaults();
    server.injectFault(Fault.TRAILING_GARBAGE, 1);
    assertTrue(
        new Node(server)
            .send(writeCommand("w2", ""))
            .receivedText
            .toString()
            .startsWith("HD Ow2 c2\r\n\u0001"));
  }

  @Test
  void truncateNextResponseSendsTruncatedResponseAndClosesConnection() {
    server.truncateNextResponse(5);
    Node node = new Node(server).send(writeCommand("w1", ""));
    assertEquals("HD Ow", node.receivedText.toString());
    assertFalse(node.channel.isActive());
  }

  @Test
  void readsNothingWhileUnresponsiveAndCatchesUpAfterwards() {
    Node node = new Node(server);
    server.setUnresponsive(true);
    node.send(writeCommand("w1", ""));
    assertEquals(0, effectLog.entryOf("w1").effectCount());
    assertTrue(node.channel.isActive());
    server.setUnresponsive(false);
    advance(200);
    assertEquals(1, effectLog.entryOf("w1").effectCount());
  }

  @Test
  void limitReadBytesStillServesWriteReadInSmallPieces() {
    server.limitReadBytes(4);
    Node node = new Node(server).send("m").send("s key 5 Ow1 Pc=put,d=500\r\nva").send("lue\r\n");
    advance(500);
    assertTrue(node.receivedText.toString().startsWith("HD Ow1"), node.receivedText.toString());
  }

  @Test
  void neverRunsQueuedRequestWhoseConnectionCloses() {
    ServerModel oneWorkerModel = ServerModel.defaults().withWorkers(1, 0.05);
    StandInServer slowServer = startServer("s2", oneWorkerModel);
    Node node = new Node(slowServer);
    ByteBuf twoWrites = node.channel.alloc().buffer();
    twoWrites.writeCharSequence(
        writeCommand("w1", "") + writeCommand("w2", ""), StandardCharsets.ISO_8859_1);
    node.channel.writeAndFlush(twoWrites);
    advance(2);
    node.channel.close();
    advance(500);
    assertEquals(1, effectLog.entryOf("w1").effectCount());
    assertEquals(0, effectLog.entryOf("w2").effectCount());
    assertEquals(1, effectLog.entryOf("w2").arrivals().size());
  }

  @ParameterizedTest
  @CsvSource({"8, false", "60, true"})
  void collapsesOnlyUnderOverloadWhileCold(int requestsPerSecond, boolean expectedCollapse) {
    // Four workers and 20 ms per request: 200 requests per second when warm, and 12 % of that, 24,
    // right after the cold start. The server collapses if it receives more than three times its
    // current capacity.
    StandInServer coldServer =
        startServer(
            "s2", ServerModel.defaults().withWorkers(4, 0.02).withColdStart(0.12, 1000, 3, 2));
    coldServer.kill();
    coldServer.startCold();
    advance(1);
    Node node = new Node(coldServer);
    for (int i = 0; i < 40; i++) {
      StringBuilder burst = new StringBuilder();
      for (int j = 0; j < requestsPerSecond / 4; j++) {
        burst.append(readCommand("r" + i + "x" + j));
      }
      node.send(burst.toString());
    }
    assertEquals(expectedCollapse, coldServer.collapsed());
  }

  @Test
  void refusesConnectionsWhenKilledAndRestartsWithEmptyCache() {
    new Node(server).send(readCommand("a1"));
    server.kill();
    advance(1);
    assertFalse(new Node(server).channel.isActive());
    server.startCold();
    advance(1);
    assertTrue(
        new Node(server).send(readCommand("a2")).receivedText.toString().contains(" h0\r\n"));
  }
}
