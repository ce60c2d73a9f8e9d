package shalepaddle.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;

/**
 * Load balancers that break a rule now and then: each kind of breach has to be found, and by its
 * own name. The same day is good where nobody tampers.
 */
class InjectedViolationTest {
  private static final ScenarioPlan QUIET =
      new ScenarioPlan(
          5,
          5,
          2,
          false,
          3,
          false,
          1,
          100,
          1,
          0,
          100,
          8000,
          List.of(
              new ScenarioPlan.Trouble(1000, ScenarioPlan.Kind.REPLACE, 1, 0, 1, null),
              new ScenarioPlan.Trouble(3000, ScenarioPlan.Kind.NODE_PAUSE, 0, 300, 1, null),
              new ScenarioPlan.Trouble(4000, ScenarioPlan.Kind.RUDE, 0, 0, 60, null)),
          false);

  private static void unchanged(Channel channel) {}

  private static Consumer<Channel> adding(Supplier<ChannelDuplexHandler> handler) {
    return channel -> channel.pipeline().addFirst(handler.get());
  }

  /** What is done with a message instead of passing it on. */
  private interface Instead {
    void write(ChannelHandlerContext ctx, ByteBuf bytes, ChannelPromise done);
  }

  private static Consumer<Channel> rarely(String begin, Instead instead) {
    return adding(() -> new Rarely(begin, instead));
  }

  /** Does something else with one in so many messages that go out and begin like this. */
  private static class Rarely extends ChannelDuplexHandler {
    private int seen;
    private final String begin;
    private final Instead instead;

    Rarely(String begin, Instead instead) {
      this.begin = begin;
      this.instead = instead;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf bytes
          && bytes.toString(StandardCharsets.ISO_8859_1).startsWith(begin)
          && seen++ % 10 == 3) {
        instead.write(ctx, bytes, promise);
      } else {
        ctx.write(message, promise);
      }
    }
  }

  private static void assertFound(String what, ScenarioSimulation.Tampering tampering) {
    ScenarioReport report = ScenarioSimulation.play(QUIET, tampering);
    assertTrue(
        report.breaches().stream().anyMatch(breach -> breach.contains(what)),
        report.breaches().toString());
  }

  @Test
  void theDayIsGoodWithoutTampering() {
    assertEquals(List.of(), ScenarioSimulation.play(QUIET).breaches());
  }

  @Test
  void anUnsafeWriteSentTwiceIsFound() {
    assertFound(
        "took effect 2 times",
        new ScenarioSimulation.Tampering(
            rarely(
                "ms ",
                (ctx, bytes, done) -> {
                  ctx.write(bytes.retainedDuplicate());
                  ctx.write(bytes, done);
                }),
            InjectedViolationTest::unchanged));
  }

  @Test
  void aDroppedAnswerIsFound() {
    assertFound(
        "no answer in time",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "VA ",
                (ctx, bytes, done) -> {
                  bytes.release();
                })));
  }

  @Test
  void aSecondAnswerIsFound() {
    assertFound(
        "more than one answer",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "VA ",
                (ctx, bytes, done) -> {
                  ctx.write(bytes.retainedDuplicate());
                  ctx.write(bytes, done);
                })));
  }

  @Test
  void aConnectionClosedUnderARequestIsFound() {
    assertFound(
        "ended without an answer",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "VA ",
                (ctx, bytes, done) -> {
                  bytes.release();
                  ctx.close();
                })));
  }

  @Test
  void anothersValueIsFound() {
    assertFound(
        "served with another's answer",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "VA ",
                (ctx, bytes, done) -> {
                  int bar = bytes.indexOf(0, bytes.writerIndex(), (byte) '|');
                  bytes.setByte(bar + 1, 'x');
                  ctx.write(bytes, done);
                })));
  }

  @Test
  void aRefusalOfAWriteThatRanIsFound() {
    assertFound(
        "was refused and took effect",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "HD ",
                (ctx, bytes, done) -> {
                  bytes
                      .clear()
                      .writeCharSequence("SERVER_ERROR busy\r\n", StandardCharsets.US_ASCII);
                  ctx.write(bytes, done);
                })));
  }

  @Test
  void aSendAfterTheAnswerIsFound() {
    assertFound(
        "after it had ended",
        new ScenarioSimulation.Tampering(
            rarely(
                "ms ",
                (ctx, bytes, done) -> {
                  ByteBuf late = bytes.retainedDuplicate();
                  ctx.write(bytes, done);
                  ctx.executor()
                      .schedule(() -> ctx.writeAndFlush(late), 700, TimeUnit.MILLISECONDS);
                }),
            InjectedViolationTest::unchanged));
  }

  @Test
  void aDrainThatIsNotKeptIsFound() {
    assertFound(
        "past the grace of its drain",
        new ScenarioSimulation.Tampering(
            adding(
                () ->
                    new ChannelDuplexHandler() {
                      @Override
                      public void channelRead(ChannelHandlerContext ctx, Object message) {
                        ByteBuf bytes = (ByteBuf) message;
                        String text = bytes.toString(StandardCharsets.ISO_8859_1);
                        bytes.setCharSequence(
                            bytes.readerIndex(),
                            text.replace("\"leaving\"", "\"active\" "),
                            StandardCharsets.ISO_8859_1);
                        ctx.fireChannelRead(bytes);
                      }
                    }),
            InjectedViolationTest::unchanged));
  }

  @Test
  void aRudeClientThatIsNotTurnedDownIsFound() {
    assertFound(
        "got neither an error nor a close",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            adding(
                () ->
                    new ChannelDuplexHandler() {
                      @Override
                      public void channelRead(ChannelHandlerContext ctx, Object message) {
                        ByteBuf bytes = (ByteBuf) message;
                        if (bytes.getByte(bytes.readerIndex()) == 'g') {
                          bytes.release();
                        } else {
                          ctx.fireChannelRead(bytes);
                        }
                      }

                      @Override
                      public void close(ChannelHandlerContext ctx, ChannelPromise done) {
                        // Connections are left open for good.
                        done.setSuccess();
                      }
                    })));
  }

  @Test
  void aLeakedBufferIsFound() {
    assertFound(
        "bytes of buffers leaked",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::unchanged,
            rarely(
                "VA ",
                (ctx, bytes, done) -> {
                  ctx.alloc().buffer(64);
                  ctx.write(bytes, done);
                })));
  }
}
