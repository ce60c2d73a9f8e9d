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

/** What a stand-in server does with requests that are written to it byte by byte. */
class StandInServerTest {
  private final MockTicker ticker = Ticker.newMockTicker();
  private final ManualIoEventLoop loop =
      new ManualIoEventLoop(null, Thread.currentThread(), LocalIoHandler.newFactory(), ticker);
  private final LoopbackTransport wire =
      LoopbackTransport.local(loop, new UnpooledByteBufAllocator(false, true));
  private final EffectLog ledger = new EffectLog();
  private final List<StandInServer> fleet = new ArrayList<>();
  private final StandInOrigin origin = new StandInOrigin(wire, 1, 4, 0.02);
  private final StandInServer server = server("s1", ServerModel.usual());

  private StandInServer server(String id, ServerModel model) {
    StandInServer server = new StandInServer(wire, id, "a", model, origin, ledger, fleet, 7);
    server.start();
    pass(1);
    return server;
  }

  private void pass(int millis) {
    for (int i = 0; i < millis; i++) {
      while (loop.runNow() > 0) {
        // Until nothing is left to do at this moment.
      }
      ticker.advanceMillis(1);
    }
  }

  /** A node's end of a connection. */
  private final class Node extends SimpleChannelInboundHandler<ByteBuf> {
    final StringBuilder got = new StringBuilder();
    final Channel channel;

    Node(StandInServer to) {
      channel =
          wire.connector()
              .handler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel.pipeline().addLast(Node.this);
                    }
                  })
              .connect(new LocalAddress(to.address()))
              .channel();
      pass(1);
    }

    Node send(String text) {
      ByteBuf bytes = channel.alloc().buffer();
      bytes.writeCharSequence(text, StandardCharsets.ISO_8859_1);
      channel.writeAndFlush(bytes);
      pass(100);
      return this;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf bytes) {
      got.append(bytes.toString(StandardCharsets.ISO_8859_1));
    }
  }

  private static String get(String id) {
    return "mg key v O" + id + " Pc=read,d=500\r\n";
  }

  private static String put(String id, String more) {
    return "ms key 5 O" + id + " Pc=put,d=500" + more + "\r\nvalue\r\n";
  }

  @Test
  void fetchesWhatItLacksOnceAndServesItThen() {
    Node node = new Node(server).send(get("a1")).send(get("a2"));
    assertEquals(
        "VA 16 Oa1 h0\r\nkey|a1..........\r\nVA 16 Oa2 h1\r\nkey|a2..........\r\n",
        node.got.toString());
    assertEquals(1, origin.fetches("key"));
  }

  @Test
  void twoMissesOnOneKeyFetchTwice() {
    new Node(server).send(get("a1") + get("a2"));
    assertEquals(2, origin.fetches("key"));
  }

  @Test
  void aWriteTakesEffectOnceAndVoidsTheCopiesOfItsKeyEverywhere() {
    StandInServer other = server("s2", ServerModel.usual());
    Node node = new Node(other).send(get("a1"));
    Node writer = new Node(server).send(put("w1", ""));
    assertEquals("HD Ow1 c" + ledger.of("w1").receipt() + "\r\n", writer.got.toString());
    assertEquals(1, ledger.of("w1").effects());
    node.send(get("a2"));
    assertEquals(2, origin.fetches("key"));
  }

  @Test
  void repeatsOfAKeyedWriteAreDroppedWithinTheWindowAlone() {
    Node node = new Node(server).send(put("w1", ",k=5c0f")).send(put("w1", ",k=5c0f"));
    assertEquals(1, ledger.of("w1").effects());
    pass(6000);
    node.send(put("w1", ",k=5c0f"));
    assertEquals(2, ledger.of("w1").effects());
    new Node(server).send(put("w2", "")).send(put("w2", ""));
    assertEquals(2, ledger.of("w2").effects());
  }

  @ParameterizedTest
  @CsvSource({
    "RESET_BEFORE_ANSWER, '', false, 1",
    "RESET_WITHIN_ANSWER, 'HD O', false, 1",
    "CLOSE_AFTER_ANSWER, 'HD Ow1 c', false, 1",
    "HALF_ANSWER, 'HD O', true, 1",
    "STALL, '', true, 1",
    "WRONG_ID, 'HD Oother c', true, 1",
    "ENDLESS, 'VA 3221225472 Ow1', true, 1",
    "ERROR, 'SERVER_ERROR failed', true, 1",
    "BUSY, 'SERVER_ERROR busy', true, 0",
  })
  void aFaultIsWhatItsNameSays(Fault fault, String begin, boolean open, int effects) {
    server.fault(fault, 1);
    Node node = new Node(server).send(put("w1", ""));
    assertTrue(node.got.toString().startsWith(begin), node.got.toString());
    assertEquals(begin.isEmpty(), node.got.isEmpty());
    assertEquals(open, node.channel.isActive());
    assertEquals(effects, ledger.of("w1").effects());
  }

  @Test
  void anAnswerIsGivenTwiceOrWithBytesBehindIt() {
    server.fault(Fault.TWICE, 1);
    String one = "HD Ow1 c1\r\n";
    assertEquals(one + one, new Node(server).send(put("w1", "")).got.toString());
    server.mend();
    server.fault(Fault.TRAILING_NOISE, 1);
    assertTrue(
        new Node(server).send(put("w2", "")).got.toString().startsWith("HD Ow2 c2\r\n\u0001"));
  }

  @Test
  void anAnswerIsCutOffAtAByte() {
    server.resetAtByte(5);
    Node node = new Node(server).send(put("w1", ""));
    assertEquals("HD Ow", node.got.toString());
    assertFalse(node.channel.isActive());
  }

  @Test
  void aSilentMachineReadsNothingUntilItIsBack() {
    Node node = new Node(server);
    server.silent(true);
    node.send(put("w1", ""));
    assertEquals(0, ledger.of("w1").effects());
    assertTrue(node.channel.isActive());
    server.silent(false);
    pass(200);
    assertEquals(1, ledger.of("w1").effects());
  }

  @Test
  void aSlowReaderTakesAFewBytesAtATime() {
    server.slowReader(4);
    Node node = new Node(server).send("m").send("s key 5 Ow1 Pc=put,d=500\r\nva").send("lue\r\n");
    pass(500);
    assertTrue(node.got.toString().startsWith("HD Ow1"), node.got.toString());
  }

  @Test
  void whatWaitsWhenItsConnectionEndsNeverRuns() {
    ServerModel one = ServerModel.usual().working(1, 0.05);
    StandInServer slow = server("s2", one);
    Node node = new Node(slow);
    ByteBuf both = node.channel.alloc().buffer();
    both.writeCharSequence(put("w1", "") + put("w2", ""), StandardCharsets.ISO_8859_1);
    node.channel.writeAndFlush(both);
    pass(2);
    node.channel.close();
    pass(500);
    assertEquals(1, ledger.of("w1").effects());
    assertEquals(0, ledger.of("w2").effects());
    assertEquals(1, ledger.of("w2").arrivals().size());
  }

  @ParameterizedTest
  @CsvSource({"8, false", "60, true"})
  void aColdServerIsPushedOverByWhatIsTooMuchForIt(int requestsPerSecond, boolean fallen) {
    // Four workers and 20 ms of work: 200 a second when warm, 24 when it starts, and thrice that.
    StandInServer cold = server("s2", ServerModel.usual().working(4, 0.02).cold(0.12, 1000, 3, 2));
    cold.kill();
    cold.startCold();
    pass(1);
    Node node = new Node(cold);
    for (int i = 0; i < 40; i++) {
      StringBuilder burst = new StringBuilder();
      for (int j = 0; j < requestsPerSecond / 4; j++) {
        burst.append(get("r" + i + "x" + j));
      }
      node.send(burst.toString());
    }
    assertEquals(fallen, cold.fallen());
  }

  @Test
  void aDeadServerRefusesConnectionsAndComesBackEmpty() {
    new Node(server).send(get("a1"));
    server.kill();
    pass(1);
    assertFalse(new Node(server).channel.isActive());
    server.startCold();
    pass(1);
    assertTrue(new Node(server).send(get("a2")).got.toString().contains(" h0\r\n"));
  }
}
