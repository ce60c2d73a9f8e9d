package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.loop.LoopClock;

/**
 * Answers the requests that the policy may have lost track of when it failed with an exception:
 * until all that were open at that time have ended, each of them that passes its deadline without
 * an answer is failed here. Owned by the event loop's thread.
 */
final class FailedDecisionRecovery {
  private static final long CHECK_INTERVAL_MILLIS = 10;

  private final EventLoop loop;
  private final LoopClock clock;
  private final ExchangeLifecycle exchanges;
  private boolean running;

  FailedDecisionRecovery(EventLoop loop, LoopClock clock, ExchangeLifecycle exchanges) {
    this.loop = loop;
    this.clock = clock;
    this.exchanges = exchanges;
  }

  /** The policy has failed just now. Does nothing while an earlier recovery is running. */
  void start() {
    if (!running) {
      running = true;
      scheduleCheck(new ArrayList<>(exchanges.open()));
    }
  }

  private void scheduleCheck(List<Exchange> suspects) {
    loop.schedule(() -> check(suspects), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check(List<Exchange> suspects) {
    long now = clock.now();
    for (Exchange exchange : suspects) {
      if (!exchange.isEnded() && now - exchange.deadlineNanos() > 0) {
        exchanges.fail(exchange);
      }
    }
    suspects.removeIf(Exchange::isEnded);
    if (suspects.isEmpty()) {
      running = false;
    } else {
      scheduleCheck(suspects);
    }
  }
}
