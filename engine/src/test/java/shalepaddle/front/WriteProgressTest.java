package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shalepaddle.sockets.SendQueues;

class WriteProgressTest {
  private static final long MAX_STALL_NANOS = 10_000_000_000L;
  private static final long SECOND = 1_000_000_000L;
  private static final int VALUE_BYTES = 1 << 20;

  /** A channel whose kernel accepts a limited number of bytes. */
  private static final class LimitedChannel extends EmbeddedChannel {
    private int room;

    @Override
    protected void doWrite(ChannelOutboundBuffer outboundBuffer) {
      // Each test writes one buffer.
      if (room > 0 && !outboundBuffer.isEmpty()) {
        outboundBuffer.removeBytes(room);
        room = 0;
      }
    }

    void accept(int bytes) {
      room = bytes;
      flush();
    }
  }

  private final LimitedChannel channel = new LimitedChannel();
  private long now;
  private long unacknowledgedBytes;

  /** Whether lookups that begin now have no result. */
  private boolean isKernelSlow;

  private WriteProgress progress;

  @BeforeEach
  void writeValue() {
    progress = new WriteProgress(() -> now, ignored -> lookUp());
    progress.setChannel(channel);
    progress.onWrite(VALUE_BYTES);
    channel.writeAndFlush(Unpooled.buffer(VALUE_BYTES).writeZero(VALUE_BYTES));
  }

  private CompletableFuture<SendQueues.Reading> lookUp() {
    return isKernelSlow
        ? new CompletableFuture<>()
        : CompletableFuture.completedFuture(new SendQueues.Reading(unacknowledgedBytes, now));
  }

  @AfterEach
  void close() {
    channel.close();
  }

  private boolean isStalledAfter(long nanos) {
    now += nanos;
    return progress.isStalled(MAX_STALL_NANOS);
  }

  @Test
  void clientThatTakesNothingIsStalled() {
    unacknowledgedBytes = 100_000;
    channel.accept(100_000);
    assertFalse(isStalledAfter(SECOND));
    assertFalse(isStalledAfter(10 * SECOND));
    assertTrue(isStalledAfter(SECOND));
  }

  /** Guards against taking the kernel's steps for a client that does not read. */
  @Test
  void clientThatTakesWhatTheKernelHoldsIsNotStalled() {
    unacknowledgedBytes = 500_000;
    channel.accept(500_000);
    for (int second = 0; second < 40; second++) {
      unacknowledgedBytes -= 1000;
      assertFalse(isStalledAfter(SECOND));
    }
    assertFalse(isStalledAfter(10 * SECOND));
    assertTrue(isStalledAfter(SECOND));
  }

  @Test
  void onlyAcceptedBytesCountWhereTheKernelTellsNothing() {
    unacknowledgedBytes = -1;
    channel.accept(1000);
    assertFalse(isStalledAfter(SECOND));
    assertFalse(isStalledAfter(10 * SECOND));
    channel.accept(1000);
    assertFalse(isStalledAfter(SECOND));
  }

  /** Guards against counting as done what the kernel holds for a client that is still reading. */
  @Test
  void valueIsUntakenUntilItIsAcknowledged() {
    channel.accept(VALUE_BYTES);
    assertFalse(progress.hasUnsentBytes());
    progress.allSent();
    unacknowledgedBytes = 1;
    assertTrue(progress.hasUntakenBytes());
    assertTrue(progress.hasUntakenBytes());
    unacknowledgedBytes = 0;
    now += SECOND;
    assertFalse(progress.hasUntakenBytes());
    assertFalse(isStalledAfter(100 * SECOND));
  }

  /** Guards against blaming a client for the time in which the kernel tells nothing of it. */
  @Test
  void clientIsNotStalledWhileKernelHasNotTold() {
    unacknowledgedBytes = 100_000;
    channel.accept(100_000);
    assertFalse(isStalledAfter(SECOND));
    isKernelSlow = true;
    for (int second = 0; second < 100; second++) {
      assertFalse(isStalledAfter(SECOND));
      assertTrue(progress.hasUntakenBytes());
    }
  }

  /** What is found late counts from when the kernel was asked, so the client has its whole time. */
  @Test
  void silenceCountsUpToLatestLookup() {
    unacknowledgedBytes = 100_000;
    channel.accept(100_000);
    assertFalse(isStalledAfter(SECOND));
    List<CompletableFuture<SendQueues.Reading>> lookups = new ArrayList<>();
    progress =
        new WriteProgress(
            () -> now,
            ignored -> {
              lookups.add(new CompletableFuture<>());
              return lookups.get(lookups.size() - 1);
            });
    progress.setChannel(channel);
    progress.onWrite(VALUE_BYTES);
    assertFalse(isStalledAfter(SECOND));
    assertFalse(isStalledAfter(SECOND));
    assertFalse(isStalledAfter(20 * SECOND));
    lookups.get(0).complete(new SendQueues.Reading(100_000, now));
    assertFalse(isStalledAfter(SECOND));
    lookups.get(1).complete(new SendQueues.Reading(100_000, now));
    assertTrue(isStalledAfter(SECOND));
    assertEquals(3, lookups.size());
  }

  @Test
  void shortResponseCountsAsTakenOnceSent() {
    channel.accept(VALUE_BYTES);
    progress.allSent();
    assertTrue(progress.hasUntakenBytes());
    assertFalse(progress.hasUntakenBytes());
    progress.onWrite(100);
    channel.writeAndFlush(Unpooled.buffer(100).writeZero(100));
    channel.accept(100);
    progress.allSent();
    unacknowledgedBytes = 100;
    assertFalse(progress.hasUntakenBytes());
  }
}
