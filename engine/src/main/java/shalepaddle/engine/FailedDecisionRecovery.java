package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.loop.LoopClock;

/**
 * Answers requests that the policy may have lost when it threw an exception: fails each request
 * that was open at that time and passes its deadline without an answer. Owned by the event loop's
 * thread.
 */
final class FailedDecisionRecovery {
  private static final long CHECK_INTERVAL_MILLIS = 10;

  private final EventLoop loop;
  private final LoopClock clock;
  private final ExchangeLifecycle exchanges;
  private boolean isRunning;

  FailedDecisionRecovery(EventLoop loop, LoopClock clock, ExchangeLifecycle exchanges) {
    this.loop = loop;
    this.clock = clock;
    this.exchanges = exchanges;
  }

  /** Starts the recovery after an exception of the policy. No effect while a recovery runs. */
  void start() {
    if (!isRunning) {
      isRunning = true;
      scheduleCheck(new ArrayList<>(exchanges.open()));
    }
  }

  private void scheduleCheck(List<Exchange> unansweredExchanges) {
    loop.schedule(() -> check(unansweredExchanges), CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void check(List<Exchange> unansweredExchanges) {
    long now = clock.now();
    for (Exchange exchange : unansweredExchanges) {
      if (!exchange.isEnded() && now - exchange.deadlineNanos() > 0) {
        exchanges.fail(exchange);
      }
    }
    unansweredExchanges.removeIf(Exchange::isEnded);
    if (unansweredExchanges.isEmpty()) {
      isRunning = false;
    } else {
      scheduleCheck(unansweredExchanges);
    }
  }
}
