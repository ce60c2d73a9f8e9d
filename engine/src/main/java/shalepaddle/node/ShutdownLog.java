package shalepaddle.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.Dispatcher;
import shalepaddle.front.ClientFront;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;

/**
 * Logs the steps of a shutdown, each with its time and with what is open then, and what is open
 * every {@value #INTERVAL_MILLIS} ms: if the process is killed, its last line tells what was left.
 * Used on the event loop only.
 */
final class ShutdownLog {
  private static final long INTERVAL_MILLIS = 250;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Dispatcher dispatcher;
  private final ClientFront front;
  private final Log log;
  private long beganNanos;
  private boolean hasEnded;

  ShutdownLog(EventLoop loop, LoopClock clock, Dispatcher dispatcher, ClientFront front, Log log) {
    this.loop = loop;
    this.clock = clock;
    this.dispatcher = dispatcher;
    this.front = front;
    this.log = log;
  }

  /**
   * Logs the beginning.
   *
   * @param sinceRequestMillis how long ago the shutdown was requested
   * @param maxSinceSignalMillis how long ago the signal can have come at most
   * @param untilAnsweredMillis the time until all requests are to be answered
   */
  void begun(long sinceRequestMillis, long maxSinceSignalMillis, long untilAnsweredMillis) {
    beganNanos = clock.now();
    log.writeRareLine("event=totals " + dispatcher.recorder().totals());
    write(
        "begun",
        " requested_before_ms="
            + sinceRequestMillis
            + " signal_before_at_most_ms="
            + maxSinceSignalMillis
            + " answered_within_ms="
            + untilAnsweredMillis);
    scheduleProgress();
  }

  /** Logs a step. */
  void step(String step) {
    write(step, "");
  }

  /** Logs the end, after which nothing is open, and the totals with why requests were refused. */
  void ended() {
    hasEnded = true;
    log.writeRareLine("event=totals " + dispatcher.recorder().totals());
    write("ended", "");
  }

  private void scheduleProgress() {
    loop.schedule(this::progress, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void progress() {
    if (!hasEnded) {
      write("progress", "");
      scheduleProgress();
    }
  }

  private void write(String step, String details) {
    log.writeRareLine(
        "event=shutdown step="
            + step
            + " after_ms="
            + TimeUnit.NANOSECONDS.toMillis(clock.now() - beganNanos)
            + details
            + " open_requests="
            + dispatcher.openRequests()
            + " connections: "
            + front.describeCounts());
  }
}
