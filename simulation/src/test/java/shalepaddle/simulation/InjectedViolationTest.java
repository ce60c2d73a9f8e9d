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
 * Verifies that the checks of a simulation detect load balancers that violate a rule from time to
 * time, and report each kind of violation by its own message. Without tampering the same scenario
 * passes.
 */
class InjectedViolationTest {
  private static final ScenarioPlan PLAN =
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
              new ScenarioPlan.Event(1000, ScenarioPlan.Kind.REPLACE, 1, 0, 1, null),
              new ScenarioPlan.Event(3000, ScenarioPlan.Kind.NODE_PAUSE, 0, 300, 1, null),
              new ScenarioPlan.Event(4000, ScenarioPlan.Kind.MISBEHAVING_CLIENTS, 0, 0, 60, null)),
          false);

  private static void leaveUnchanged(Channel channel) {}

  private static Consumer<Channel> addHandlerFirst(Supplier<ChannelDuplexHandler> handler) {
    return channel -> channel.pipeline().addFirst(handler.get());
  }

  /** Handles an outbound message instead of passing it on. */
  private interface Replacement {
    void write(ChannelHandlerContext ctx, ByteBuf bytes, ChannelPromise promise);
  }

  private static Consumer<Channel> replaceEveryTenth(String prefix, Replacement replacement) {
    return addHandlerFirst(() -> new ReplaceEveryTenth(prefix, replacement));
  }

  /** Passes every tenth outbound message that begins with the prefix to the replacement. */
  private static class ReplaceEveryTenth extends ChannelDuplexHandler {
    private int matchCount;
    private final String prefix;
    private final Replacement replacement;

    ReplaceEveryTenth(String prefix, Replacement replacement) {
      this.prefix = prefix;
      this.replacement = replacement;
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
      if (message instanceof ByteBuf bytes
          && bytes.toString(StandardCharsets.ISO_8859_1).startsWith(prefix)
          && matchCount++ % 10 == 3) {
        replacement.write(ctx, bytes, promise);
      } else {
        ctx.write(message, promise);
      }
    }
  }

  private static void assertViolationReported(
      String expectedText, ScenarioSimulation.Tampering tampering) {
    ScenarioReport report = ScenarioSimulation.play(PLAN, tampering);
    assertTrue(
        report.violations().stream().anyMatch(violation -> violation.contains(expectedText)),
        report.violations().toString());
  }

  @Test
  void playReportsNoViolationWithoutTampering() {
    assertEquals(List.of(), ScenarioSimulation.play(PLAN).violations());
  }

  @Test
  void playReportsViolationWhenUnsafeWriteIsSentTwice() {
    assertViolationReported(
        "took effect 2 times",
        new ScenarioSimulation.Tampering(
            replaceEveryTenth(
                "ms ",
                (ctx, bytes, promise) -> {
                  ctx.write(bytes.retainedDuplicate());
                  ctx.write(bytes, promise);
                }),
            InjectedViolationTest::leaveUnchanged));
  }

  @Test
  void playReportsViolationWhenResponseIsDropped() {
    assertViolationReported(
        "no answer in time",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "VA ",
                (ctx, bytes, promise) -> {
                  bytes.release();
                })));
  }

  @Test
  void playReportsViolationWhenResponseIsSentTwice() {
    assertViolationReported(
        "more than one answer",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "VA ",
                (ctx, bytes, promise) -> {
                  ctx.write(bytes.retainedDuplicate());
                  ctx.write(bytes, promise);
                })));
  }

  @Test
  void playReportsViolationWhenConnectionClosesBeforeResponse() {
    assertViolationReported(
        "ended without an answer",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "VA ",
                (ctx, bytes, promise) -> {
                  bytes.release();
                  ctx.close();
                })));
  }

  @Test
  void playReportsViolationWhenValueBelongsToAnotherRequest() {
    assertViolationReported(
        "served with another request's response",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "VA ",
                (ctx, bytes, promise) -> {
                  int separator = bytes.indexOf(0, bytes.writerIndex(), (byte) '|');
                  bytes.setByte(separator + 1, 'x');
                  ctx.write(bytes, promise);
                })));
  }

  @Test
  void playReportsViolationWhenExecutedWriteIsRefused() {
    assertViolationReported(
        "was refused and took effect",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "HD ",
                (ctx, bytes, promise) -> {
                  bytes
                      .clear()
                      .writeCharSequence("SERVER_ERROR busy\r\n", StandardCharsets.US_ASCII);
                  ctx.write(bytes, promise);
                })));
  }

  @Test
  void playReportsViolationWhenAttemptIsSentAfterResponse() {
    assertViolationReported(
        "after it had ended",
        new ScenarioSimulation.Tampering(
            replaceEveryTenth(
                "ms ",
                (ctx, bytes, promise) -> {
                  ByteBuf lateCopy = bytes.retainedDuplicate();
                  ctx.write(bytes, promise);
                  ctx.executor()
                      .schedule(() -> ctx.writeAndFlush(lateCopy), 700, TimeUnit.MILLISECONDS);
                }),
            InjectedViolationTest::leaveUnchanged));
  }

  @Test
  void playReportsViolationWhenAttemptIsSentAfterDrainGrace() {
    assertViolationReported(
        "ms after the grace of its drain",
        new ScenarioSimulation.Tampering(
            addHandlerFirst(
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
            InjectedViolationTest::leaveUnchanged));
  }

  @Test
  void playReportsViolationWhenMisbehavingClientGetsNeitherErrorNorClose() {
    assertViolationReported(
        "got neither an error nor a close",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            addHandlerFirst(
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
                      public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
                        // Never closes the connection.
                        promise.setSuccess();
                      }
                    })));
  }

  @Test
  void playReportsViolationWhenBufferLeaks() {
    assertViolationReported(
        "bytes of buffers leaked",
        new ScenarioSimulation.Tampering(
            InjectedViolationTest::leaveUnchanged,
            replaceEveryTenth(
                "VA ",
                (ctx, bytes, promise) -> {
                  ctx.alloc().buffer(64);
                  ctx.write(bytes, promise);
                })));
  }
}
