package shalepaddle.upstream;

import io.netty.channel.Channel;
import java.util.function.BooleanSupplier;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;
import shalepaddle.sockets.SendQueues;

/**
 * Finds out whether the bytes that were written to a connection up to some position have arrived,
 * and otherwise runs a task. The task also runs if the kernel has not told within {@link
 * #MAX_CHECK_NANOS}: bytes that may arrive later must not. Owned by the connection's event loop.
 */
final class DeliveryCheck {
  /** The time in which bytes that the peer reads arrive there and are acknowledged. */
  private static final long DELIVERY_NANOS = 40_000_000L;

  /** A request may begin at its server for so long after its client has left. */
  private static final long MAX_CHECK_NANOS = 100_000_000L;

  private final Channel channel;
  private final SendQueues sendQueues;
  private final Timers timers;
  private final LoopClock clock;
  private final BooleanSupplier isNeeded;
  private final Runnable task;
  private final long startedAtNanos;
  private final long bytesBehind;
  private boolean isDone;

  /**
   * Creates a check.
   *
   * @param bytesBehind how many bytes were written behind the position
   * @param isNeeded whether the arrival is still unknown otherwise; asked before the task runs
   * @param task runs on the event loop if the bytes have not arrived
   */
  DeliveryCheck(
      Channel channel,
      SendQueues sendQueues,
      Timers timers,
      LoopClock clock,
      long bytesBehind,
      BooleanSupplier isNeeded,
      Runnable task) {
    this.channel = channel;
    this.sendQueues = sendQueues;
    this.timers = timers;
    this.clock = clock;
    this.bytesBehind = bytesBehind;
    this.isNeeded = isNeeded;
    this.task = task;
    this.startedAtNanos = clock.now();
  }

  /** Starts the check, whose result comes later. */
  void start() {
    timers.runAfterActiveTime(MAX_CHECK_NANOS, this::end);
    look();
  }

  private void look() {
    if (!isDone) {
      sendQueues.read(channel).thenAcceptAsync(this::decide, channel.eventLoop());
    }
  }

  private void decide(SendQueues.Reading reading) {
    if (isDone) {
      return;
    }
    // Bytes that were written since the check began make the figure larger.
    if (reading.unacknowledgedBytes() <= bytesBehind) {
      isDone = true;
    } else if (reading.readAtNanos() - startedAtNanos >= DELIVERY_NANOS) {
      end();
    } else {
      long elapsedNanos = clock.now() - startedAtNanos;
      timers.runNoEarlierThan(Math.max(0, DELIVERY_NANOS - elapsedNanos), this::look);
    }
  }

  /** Ends the check without a proof of the arrival. */
  private void end() {
    if (!isDone) {
      isDone = true;
      if (channel.isActive() && isNeeded.getAsBoolean()) {
        task.run();
      }
    }
  }
}
