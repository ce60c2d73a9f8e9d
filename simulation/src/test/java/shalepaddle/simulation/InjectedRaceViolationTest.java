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
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Verifies that the checks of a simulation detect load balancers that handle a race of two events
 * wrongly, and report each kind of violation by its own message. Without tampering the same
 * scenario passes.
 */
class InjectedRaceViolationTest {
  private static final ScenarioPlan PLAN =
      new ScenarioPlan(
          8,
          5,
          2,
          false,
          3,
          true,
          4,
          120,
          1,
          0.2,
          100,
          10_000,
          List.of(
              new ScenarioPlan.Event(1000, ScenarioPlan.Kind.MUTE_WATCHES, 0, 0, 1, null),
              new ScenarioPlan.Event(5500, ScenarioPlan.Kind.REPLACE, 1, 0, 1, null),
              new ScenarioPlan.Event(4000, ScenarioPlan.Kind.RESTART, 0, 0, 1, null),
              new ScenarioPlan.Event(4050, ScenarioPlan.Kind.RELOAD_CONFIGURATION, 0, 0, 1, null)),
          false,
          new ScenarioPlan.Deployment(false, 0.2, 60, true, 2));

  /** A fault of the load balancers, simulated by tampering with their connections. */
  enum Variant {
    /**
     * One in five reads is sent to its server 400 ms late, even if its client has disconnected
     * meanwhile.
     */
    SENDS_LATE("after it had ended (gone)") {
      @Override
      Consumer<Channel> onOpened() {
        return addHandlerFirst(
            () ->
                new TamperingHandler() {
                  @Override
                  public void write(
                      ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                    if (startsWith(message, "mg ") && selects()) {
                      sendLate(ctx, message, promise);
                    } else {
                      ctx.write(message, promise);
                    }
                  }
                });
      }
    },
    /**
     * A request that waited for its connection is sent 400 ms late, even if its client has
     * disconnected meanwhile.
     */
    SENDS_LATE_AFTER_CONNECT("after it had ended (gone)") {
      @Override
      Consumer<Channel> onOpened() {
        return addHandlerFirst(() -> new DelayedConnect(120))
            .andThen(
                addHandlerFirst(
                    () ->
                        new TamperingHandler() {
                          private boolean hasSent;

                          @Override
                          public void write(
                              ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                            if (hasSent || !startsWith(message, "m")) {
                              ctx.write(message, promise);
                              return;
                            }
                            hasSent = true;
                            sendLate(ctx, message, promise);
                          }
                        }));
      }
    },
    /** Injected heartbeats make a load balancer take a silent watch for one without changes. */
    TRUSTS_SILENT_WATCHES("ms after the grace of its drain") {
      @Override
      Consumer<Channel> onOpened() {
        return addHandlerFirst(
            () ->
                new TamperingHandler() {
                  private boolean responseStarted;

                  @Override
                  public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (!responseStarted && startsWith(message, "HTTP/1.1 200")) {
                      responseStarted = true;
                      scheduleHeartbeat(ctx);
                    }
                    ctx.fireChannelRead(message);
                  }

                  private void scheduleHeartbeat(ChannelHandlerContext ctx) {
                    ctx.executor()
                        .schedule(
                            () -> {
                              if (ctx.channel().isActive()) {
                                ByteBuf heartbeatChunk = ctx.alloc().buffer();
                                heartbeatChunk.writeCharSequence(
                                    "1\r\n\n\r\n", StandardCharsets.US_ASCII);
                                ctx.fireChannelRead(heartbeatChunk);
                                scheduleHeartbeat(ctx);
                              }
                            },
                            1,
                            TimeUnit.SECONDS);
                  }
                });
      }
    },
    /** A drain closes client connections at once, even if responses are outstanding on them. */
    CLOSES_AT_ONCE_ON_DRAIN("ended without an answer") {
      @Override
      Consumer<Channel> onAccepted() {
        return addHandlerFirst(
            () ->
                new TamperingHandler() {
                  @Override
                  public void channelActive(ChannelHandlerContext ctx) {
                    // Closes during the drain, which starts 4000 ms into the scenario.
                    long closeDelayMillis = 4100 - ctx.executor().ticker().nanoTime() / 1_000_000;
                    ctx.executor()
                        .schedule(
                            () -> ctx.close(),
                            closeDelayMillis + START_MILLIS,
                            TimeUnit.MILLISECONDS);
                    ctx.fireChannelActive();
                  }
                });
      }
    },
    /** A drain never closes client connections. */
    NEVER_CLOSES_ON_DRAIN("no answer in time") {
      @Override
      Consumer<Channel> onAccepted() {
        return addHandlerFirst(
            () ->
                new TamperingHandler() {
                  @Override
                  public void close(ChannelHandlerContext ctx, ChannelPromise promise) {
                    promise.setSuccess();
                  }
                });
      }
    },
    /** One in five writes is sent to its server twice. */
    SENDS_WRITES_TWICE("took effect 2 times") {
      @Override
      Consumer<Channel> onOpened() {
        return addHandlerFirst(
            () ->
                new TamperingHandler() {
                  @Override
                  public void write(
                      ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
                    if (startsWith(message, "ms ") && selects()) {
                      ctx.write(((ByteBuf) message).retainedDuplicate());
                    }
                    ctx.write(message, promise);
                  }
                });
      }
    };

    /** Virtual time in milliseconds at which the scenario starts, after its setup. */
    private static final long START_MILLIS = 204;

    private final String expectedMessage;

    Variant(String expectedMessage) {
      this.expectedMessage = expectedMessage;
    }

    /** Tampers with each connection that a load balancer opens to a server or discovery. */
    Consumer<Channel> onOpened() {
      return channel -> {};
    }

    /** Tampers with each connection that a load balancer accepts from a client. */
    Consumer<Channel> onAccepted() {
      return channel -> {};
    }
  }

  private static Consumer<Channel> addHandlerFirst(
      java.util.function.Supplier<ChannelDuplexHandler> handler) {
    return channel -> channel.pipeline().addFirst(handler.get());
  }

  /** Writes a message 400 ms late, though the load balancer takes it for written at once. */
  private static void sendLate(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
    promise.trySuccess();
    ctx.executor().schedule(() -> ctx.writeAndFlush(message), 400, TimeUnit.MILLISECONDS);
  }

  /** Passes all events to the next handler, except for those that a variant overrides. */
  private abstract static class TamperingHandler extends ChannelDuplexHandler {
    private int messageCount;

    /** Whether to tamper with this message; true for one in five messages. */
    boolean selects() {
      return messageCount++ % 5 == 2;
    }

    static boolean startsWith(Object message, String prefix) {
      return message instanceof ByteBuf bytes
          && bytes.toString(StandardCharsets.ISO_8859_1).startsWith(prefix);
    }
  }

  @Test
  void playReportsNoViolationWithoutTampering() {
    ScenarioReport report = ScenarioSimulation.play(PLAN);
    assertEquals(List.of(), report.violations());
    assertTrue(report.servedRequests() > report.requests() / 3, report::toString);
  }

  /**
   * Requests wait for their connections when their clients disconnect, and the load balancers'
   * handlers learn of it 500 ms late: nothing may be sent all the same.
   */
  @Test
  void nothingIsSentAfterDisconnectThatHandlersNoticeLate() {
    ScenarioReport report =
        ScenarioSimulation.play(
            PLAN,
            new ScenarioSimulation.Tampering(
                addHandlerFirst(() -> new DelayedConnect(120)),
                addHandlerFirst(
                    () ->
                        new TamperingHandler() {
                          @Override
                          public void channelInactive(ChannelHandlerContext ctx) {
                            ctx.executor()
                                .schedule(ctx::fireChannelInactive, 500, TimeUnit.MILLISECONDS);
                          }
                        })));
    assertEquals(
        List.of(),
        report.violations().stream()
            .filter(violation -> violation.contains("after it had ended"))
            .toList());
  }

  @ParameterizedTest
  @EnumSource(Variant.class)
  void playReportsViolationWhenConnectionsAreTamperedWith(Variant variant) {
    ScenarioReport report =
        ScenarioSimulation.play(
            PLAN, new ScenarioSimulation.Tampering(variant.onOpened(), variant.onAccepted()));
    assertTrue(
        report.violations().stream()
            .anyMatch(violation -> violation.contains(variant.expectedMessage)),
        report.violations().toString());
  }
}
