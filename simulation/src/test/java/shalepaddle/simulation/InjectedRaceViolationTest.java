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
 * Load balancers that do the wrong thing where two events cross: each is found, by its own name, on
 * a day that is good where nobody tampers.
 */
class InjectedRaceViolationTest {
  private static final ScenarioPlan DAY =
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
              new ScenarioPlan.Trouble(1000, ScenarioPlan.Kind.MUTE_WATCHES, 0, 0, 1, null),
              new ScenarioPlan.Trouble(5500, ScenarioPlan.Kind.REPLACE, 1, 0, 1, null),
              new ScenarioPlan.Trouble(4000, ScenarioPlan.Kind.RESTART, 0, 0, 1, null),
              new ScenarioPlan.Trouble(4050, ScenarioPlan.Kind.RETUNE, 0, 0, 1, null)),
          false,
          new ScenarioPlan.World(false, 0.2, 60, true, 2));

  /** What is wrong with these load balancers. */
  enum Variant {
    /** What is to be written to a server goes out 400 ms later, whoever has left meanwhile. */
    SENDS_LATE("after it had ended (gone)") {
      @Override
      Consumer<Channel> opened() {
        return adding(
            () ->
                new Tamper() {
                  @Override
                  public void write(
                      ChannelHandlerContext ctx, Object message, ChannelPromise done) {
                    if (begins(message, "mg ") && drawn()) {
                      ctx.executor()
                          .schedule(
                              () -> ctx.writeAndFlush(message, done), 400, TimeUnit.MILLISECONDS);
                    } else {
                      ctx.write(message, done);
                    }
                  }
                });
      }
    },
    /** The end of a client's connection is seen half a second late. */
    SEES_LEAVING_LATE("after it had ended (gone)") {
      @Override
      Consumer<Channel> opened() {
        // A request that waits meanwhile: its connection comes up just as late.
        return adding(() -> new DelayedConnect(120));
      }

      @Override
      Consumer<Channel> accepted() {
        return adding(
            () ->
                new Tamper() {
                  @Override
                  public void channelInactive(ChannelHandlerContext ctx) {
                    ctx.executor().schedule(ctx::fireChannelInactive, 500, TimeUnit.MILLISECONDS);
                  }
                });
      }
    },
    /** A watch that has fallen silent is taken for one on which nothing changes. */
    TRUSTS_SILENT_WATCHES("past the grace of its drain") {
      @Override
      Consumer<Channel> opened() {
        return adding(
            () ->
                new Tamper() {
                  private boolean chunked;

                  @Override
                  public void channelRead(ChannelHandlerContext ctx, Object message) {
                    if (!chunked && begins(message, "HTTP/1.1 200")) {
                      chunked = true;
                      beat(ctx);
                    }
                    ctx.fireChannelRead(message);
                  }

                  private void beat(ChannelHandlerContext ctx) {
                    ctx.executor()
                        .schedule(
                            () -> {
                              if (ctx.channel().isActive()) {
                                ByteBuf blank = ctx.alloc().buffer();
                                blank.writeCharSequence("1\r\n\n\r\n", StandardCharsets.US_ASCII);
                                ctx.fireChannelRead(blank);
                                beat(ctx);
                              }
                            },
                            1,
                            TimeUnit.SECONDS);
                  }
                });
      }
    },
    /** A drain closes connections at once, whatever is owed on them. */
    DRAINS_AT_ONCE("ended without an answer") {
      @Override
      Consumer<Channel> accepted() {
        return adding(
            () ->
                new Tamper() {
                  @Override
                  public void channelActive(ChannelHandlerContext ctx) {
                    // In the middle of the drain.
                    long drains = 4100 - ctx.executor().ticker().nanoTime() / 1_000_000;
                    ctx.executor()
                        .schedule(() -> ctx.close(), drains + SINCE, TimeUnit.MILLISECONDS);
                    ctx.fireChannelActive();
                  }
                });
      }
    },
    /** A connection is never ended by a drain. */
    NEVER_ENDS_A_DRAIN("was not drained in time") {
      @Override
      Consumer<Channel> accepted() {
        return adding(
            () ->
                new Tamper() {
                  @Override
                  public void close(ChannelHandlerContext ctx, ChannelPromise done) {
                    done.setSuccess();
                  }
                });
      }
    },
    /** A write that found its connection broken is sent once more. */
    REPEATS_WRITES("took effect 2 times") {
      @Override
      Consumer<Channel> opened() {
        return adding(
            () ->
                new Tamper() {
                  @Override
                  public void write(
                      ChannelHandlerContext ctx, Object message, ChannelPromise done) {
                    if (begins(message, "ms ") && drawn()) {
                      ctx.write(((ByteBuf) message).retainedDuplicate());
                    }
                    ctx.write(message, done);
                  }
                });
      }
    };

    /** When the day began to run, after what sets it up. */
    private static final long SINCE = 204;

    private final String found;

    Variant(String found) {
      this.found = found;
    }

    Consumer<Channel> opened() {
      return channel -> {};
    }

    Consumer<Channel> accepted() {
      return channel -> {};
    }
  }

  private static Consumer<Channel> adding(
      java.util.function.Supplier<ChannelDuplexHandler> handler) {
    return channel -> channel.pipeline().addFirst(handler.get());
  }

  /** Does as it should, but for what a variant changes. */
  private abstract static class Tamper extends ChannelDuplexHandler {
    private int seen;

    /** One in five. */
    boolean drawn() {
      return seen++ % 5 == 2;
    }

    static boolean begins(Object message, String with) {
      return message instanceof ByteBuf bytes
          && bytes.toString(StandardCharsets.ISO_8859_1).startsWith(with);
    }
  }

  @Test
  void theDayIsGoodWithoutTampering() {
    ScenarioReport report = ScenarioSimulation.play(DAY);
    assertEquals(List.of(), report.breaches());
    assertTrue(report.served() > report.asked() / 3, report::toString);
  }

  @ParameterizedTest
  @EnumSource(Variant.class)
  void isFound(Variant variant) {
    ScenarioReport report =
        ScenarioSimulation.play(
            DAY, new ScenarioSimulation.Tampering(variant.opened(), variant.accepted()));
    assertTrue(
        report.breaches().stream().anyMatch(breach -> breach.contains(variant.found)),
        report.breaches().toString());
  }
}
