package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.channel.socket.DuplexChannel;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Upstream;
import shalepaddle.front.ClientFront;
import shalepaddle.front.RequestAdmission;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.DegradationPolicy;
import shalepaddle.sockets.SendQueues;

/** Pauses in reading from a client: after its early retries, and while its connection drains. */
class ClientReadControlTest {
  private static final long RETRY_AFTER_MILLIS = 200;

  private final VirtualTimeEngine engine =
      new VirtualTimeEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long stallNanos) {}

            @Override
            public void onTurnEnd(long begunAtNanos, long nowNanos) {}

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }
          });

  /** An embedded channel whose output can be shut down separately. */
  private static final class DuplexEmbeddedChannel extends EmbeddedChannel
      implements DuplexChannel {
    private boolean isOutputShut;

    DuplexEmbeddedChannel(VirtualTimeEngine engine, ClientFront front) {
      super(EmbeddedChannel.builder().ticker(engine.ticker).handlers(front));
    }

    @Override
    public boolean isInputShutdown() {
      return false;
    }

    @Override
    public ChannelFuture shutdownInput() {
      throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdownInput(ChannelPromise promise) {
      throw new UnsupportedOperationException();
    }

    @Override
    public boolean isOutputShutdown() {
      return isOutputShut;
    }

    @Override
    public ChannelFuture shutdownOutput() {
      isOutputShut = true;
      return newSucceededFuture();
    }

    @Override
    public ChannelFuture shutdownOutput(ChannelPromise promise) {
      return shutdownOutput();
    }

    @Override
    public boolean isShutdown() {
      return false;
    }

    @Override
    public ChannelFuture shutdown() {
      throw new UnsupportedOperationException();
    }

    @Override
    public ChannelFuture shutdown(ChannelPromise promise) {
      throw new UnsupportedOperationException();
    }
  }

  private final ClientFront front;
  private final DuplexEmbeddedChannel client;

  ClientReadControlTest() throws Exception {
    Dispatcher dispatcher =
        engine.startDispatcher(
            "\"attempts-cap\":1",
            """
            {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2}
            """,
            CoalescingConfig.OFF,
            new Upstream() {
              @Override
              public void send(Attempt attempt) {
                throw new AssertionError("a request was sent though all are rejected");
              }

              @Override
              public void withdraw(Attempt attempt, boolean isOverdue) {}

              @Override
              public void closeIdle(long serverId) {}
            },
            7);
    RequestAdmission rejectingAdmission =
        new RequestAdmission() {
          @Override
          public boolean mayReject() {
            return true;
          }

          @Override
          public long admit(int serviceClass, int tenant, long keyHash, boolean isRetry) {
            return RETRY_AFTER_MILLIS + (isRetry ? RETRY_FLAG : 0);
          }
        };
    try (NodeFixture rig = new NodeFixture()) {
      MetaClientCodec codec =
          new MetaClientCodec(
              new MemoryBudget(1000), rig.config("").settings(), rejectingAdmission);
      front =
          new ClientFront(
              dispatcher,
              codec,
              8,
              () -> DegradationPolicy.CALM,
              SendQueues.NONE,
              new MemoryBudget(1 << 16));
      client = new DuplexEmbeddedChannel(engine, front);
    }
  }

  @AfterEach
  void close() {
    client.finishAndReleaseAll();
    engine.close();
  }

  private void sendRequest(boolean isRetry) {
    String line = "mg key v Oa Pc=read,d=500" + (isRetry ? ",r=1" : "") + "\r\n";
    client.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    ByteBuf answer = client.readOutbound();
    assertEquals("SERVER_ERROR busy 200\r\n", answer.toString(StandardCharsets.US_ASCII));
    answer.release();
    assertNull(client.readOutbound());
  }

  private void advanceClock(long millis) {
    engine.ticker.advance(millis, TimeUnit.MILLISECONDS);
    engine.clock.refresh();
    client.runScheduledPendingTasks();
  }

  /** Whether a no-op command is answered now; if not, it is answered once the pause is over. */
  private boolean isReading() {
    client.writeInbound(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.US_ASCII));
    client.runPendingTasks();
    int answerCount = 0;
    for (ByteBuf answer = client.readOutbound(); answer != null; answer = client.readOutbound()) {
      assertEquals("MN\r\n", answer.toString(StandardCharsets.US_ASCII));
      answer.release();
      answerCount++;
    }
    return answerCount > 0;
  }

  @Test
  void pausesReadingWhenClientRetriesTooEarly() {
    sendRequest(false);
    sendRequest(true);
    sendRequest(true);
    assertTrue(isReading(), "reading is paused after two early retries, which are tolerated");
    sendRequest(true);
    assertFalse(isReading());
    advanceClock(99);
    assertFalse(isReading());
    advanceClock(1);
    assertTrue(isReading());
    sendRequest(true);
    assertFalse(isReading(), "reading is not paused after one more early retry");
  }

  @Test
  void doesNotPauseReadingWhenManyRetriesObeyRetryAfter() {
    for (int i = 0; i < 50; i++) {
      sendRequest(false);
    }
    for (int round = 0; round < 5; round++) {
      advanceClock(RETRY_AFTER_MILLIS);
      for (int i = 0; i < 50; i++) {
        sendRequest(true);
        assertTrue(isReading(), "reading is paused at request " + i + " of round " + round);
      }
    }
  }

  /**
   * A client may send a request before it sees that the node has shut its output down. The node
   * must not read that request: a request that was read must be answered, and the node can send no
   * response after the shutdown.
   */
  @Test
  void doesNotReadForSomeTimeAfterOutputShutdown() {
    sendRequest(false);
    front.drain(() -> {});
    front.endUnneededAfter(engine.loop, 0);
    engine.advanceMillis(2);
    assertTrue(client.isOutputShutdown());
    assertFalse(client.config().isAutoRead());
    advanceClock(97);
    assertFalse(client.config().isAutoRead());
    advanceClock(3);
    assertTrue(
        client.config().isAutoRead(),
        "unread bytes must be read before the close, or the kernel resets the connection");
  }

  /** A request that was read must be answered, also if it is only buffered during a pause. */
  @Test
  void answersRequestBufferedInPauseBeforeOutputShutdown() {
    client.writeInbound(Unpooled.copiedBuffer("what\r\n", StandardCharsets.US_ASCII));
    client.<ByteBuf>readOutbound().release();
    String line = "mg key v Oa Pc=read,d=500\r\n";
    client.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    client.runPendingTasks();
    assertNull(
        client.readOutbound(), "a request was answered while reading is paused after an error");
    front.drain(() -> {});
    front.endUnneededAfter(engine.loop, 0);
    front.stopReadingAfter(engine.loop, 5);
    engine.advanceMillis(4);
    client.runPendingTasks();
    assertFalse(client.isOutputShutdown());
    engine.advanceMillis(2);
    client.runPendingTasks();
    ByteBuf answer = client.readOutbound();
    assertEquals("SERVER_ERROR busy 200\r\n", answer.toString(StandardCharsets.US_ASCII));
    answer.release();
    assertTrue(client.isOutputShutdown());
    assertFalse(client.config().isAutoRead());
  }
}
