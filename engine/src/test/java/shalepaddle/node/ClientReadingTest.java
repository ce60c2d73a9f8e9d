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

/** When a client is not read from: where it comes again too soon, and where it is told to leave. */
class ClientReadingTest {
  private static final long ADVICE_MILLIS = 200;

  private final VirtualEngine engine =
      new VirtualEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long nanos) {}

            @Override
            public void onTurnEnd(long begunAt, long now) {}

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }
          });

  /** A connection whose sending end can be closed by itself. */
  private static final class Duplex extends EmbeddedChannel implements DuplexChannel {
    private boolean outputShut;

    Duplex(VirtualEngine engine, ClientFront front) {
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
      return outputShut;
    }

    @Override
    public ChannelFuture shutdownOutput() {
      outputShut = true;
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
  private final Duplex client;

  ClientReadingTest() throws Exception {
    Dispatcher dispatcher =
        engine.start(
            "\"attempts-cap\":1",
            """
            {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2}
            """,
            CoalescingConfig.OFF,
            new Upstream() {
              @Override
              public void send(Attempt attempt) {
                throw new AssertionError("all are refused");
              }

              @Override
              public void withdraw(Attempt attempt, boolean overdue) {}

              @Override
              public void closeIdle(long server) {}
            },
            7);
    RequestAdmission refusing =
        new RequestAdmission() {
          @Override
          public boolean mayReject() {
            return true;
          }

          @Override
          public long admit(int serviceClass, int tenant, long subject, boolean repeat) {
            return ADVICE_MILLIS + (repeat ? RETRY : 0);
          }
        };
    try (NodeFixture rig = new NodeFixture()) {
      MetaClientCodec codec =
          new MetaClientCodec(new MemoryBudget(1000), rig.config("").settings(), refusing);
      front =
          new ClientFront(
              dispatcher, codec, 8, () -> DegradationPolicy.CALM, new MemoryBudget(1 << 16));
      client = new Duplex(engine, front);
    }
  }

  @AfterEach
  void close() {
    client.finishAndReleaseAll();
    engine.close();
  }

  private void ask(boolean again) {
    String line = "mg key v Oa Pc=read,d=500" + (again ? ",r=1" : "") + "\r\n";
    client.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    ByteBuf answer = client.readOutbound();
    assertEquals("SERVER_ERROR busy 200\r\n", answer.toString(StandardCharsets.US_ASCII));
    answer.release();
    assertNull(client.readOutbound());
  }

  private void pass(long millis) {
    engine.ticker.advance(millis, TimeUnit.MILLISECONDS);
    engine.clock.refresh();
    client.runScheduledPendingTasks();
  }

  /** Whether a command that counts for nothing is taken now; if not it is once the rest is over. */
  private boolean readFrom() {
    client.writeInbound(Unpooled.copiedBuffer("mn\r\n", StandardCharsets.US_ASCII));
    client.runPendingTasks();
    int answers = 0;
    for (ByteBuf answer = client.readOutbound(); answer != null; answer = client.readOutbound()) {
      assertEquals("MN\r\n", answer.toString(StandardCharsets.US_ASCII));
      answer.release();
      answers++;
    }
    return answers > 0;
  }

  @Test
  void whoRepeatsTooSoonIsAnsweredAtOnceAndReadFromLater() {
    ask(false);
    ask(true);
    ask(true);
    assertTrue(readFrom(), "twice in a turn is never too often");
    ask(true);
    assertFalse(readFrom());
    pass(99);
    assertFalse(readFrom());
    pass(1);
    assertTrue(readFrom());
    ask(true);
    assertFalse(readFrom(), "still sooner than it was told to");
  }

  @Test
  void whoHeedsTheAdviceIsReadFromAsEverHoweverManyShareTheConnection() {
    for (int i = 0; i < 50; i++) {
      ask(false);
    }
    for (int time = 0; time < 5; time++) {
      pass(ADVICE_MILLIS);
      for (int i = 0; i < 50; i++) {
        ask(true);
        assertTrue(readFrom(), "at its repeat " + i + ", the time " + time);
      }
    }
  }

  /**
   * What a client sends before it can have heard of the end crosses that: whoever reads it has
   * taken it, and owes an answer that can't be given any more.
   */
  @Test
  void whoIsToldToLeaveIsNotReadFromWhileARequestMayCross() {
    ask(false);
    front.drain(engine.loop, 0, 300, () -> {});
    engine.pass(2);
    assertTrue(client.isOutputShutdown());
    assertFalse(client.config().isAutoRead());
    pass(97);
    assertFalse(client.config().isAutoRead());
    pass(3);
    assertTrue(
        client.config().isAutoRead(),
        "what came is read off, or the kernel would reset the connection");
  }

  /** What was read has been taken, also where it was kept for later. */
  @Test
  void whatWasReadFromAClientThatRestsIsAnsweredBeforeItIsToldToLeave() {
    client.writeInbound(Unpooled.copiedBuffer("what\r\n", StandardCharsets.US_ASCII));
    client.<ByteBuf>readOutbound().release();
    String line = "mg key v Oa Pc=read,d=500\r\n";
    client.writeInbound(Unpooled.copiedBuffer(line, StandardCharsets.US_ASCII));
    client.runPendingTasks();
    assertNull(client.readOutbound(), "it rests for its error");
    front.drain(engine.loop, 0, 5, () -> {});
    engine.pass(4);
    client.runPendingTasks();
    assertFalse(client.isOutputShutdown());
    engine.pass(2);
    client.runPendingTasks();
    ByteBuf answer = client.readOutbound();
    assertEquals("SERVER_ERROR busy 200\r\n", answer.toString(StandardCharsets.US_ASCII));
    answer.release();
    assertTrue(client.isOutputShutdown());
    assertFalse(client.config().isAutoRead());
  }
}
