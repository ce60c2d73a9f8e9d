package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.util.concurrent.MockTicker;
import io.netty.util.concurrent.Ticker;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.loop.LoopClock;

/** The observed limit of a server's connections, with a mock clock. */
class ConnectionLimitTest {
  private static final int MAX_CONNECTIONS = 4;

  /** Ignores stalls: the steps of the mock clock look like stalls. */
  private static final class IgnoringListener implements LoopClock.Listener {
    @Override
    public void onStall(long stallNanos) {}

    @Override
    public void onTaskFailure(RuntimeException cause) {}
  }

  private final MockTicker ticker = Ticker.newMockTicker();
  private final ConnectionBudget budget = new ConnectionBudget(100);
  private final ConnectionLimit limit =
      new ConnectionLimit(new LoopClock(ticker, new IgnoringListener()), budget, MAX_CONNECTIONS);

  @Test
  void recoversByOneConnectionAfterEachPeriod() {
    limit.connectFailed(1);
    assertEquals(3, limit.currentLimit());
    limit.connectFailed(1);
    assertEquals(2, limit.currentLimit());
    ticker.advance(2000, TimeUnit.MILLISECONDS);
    assertEquals(2, limit.currentLimit(), "the limit recovers only after the recovery period");
    ticker.advance(1, TimeUnit.MILLISECONDS);
    assertEquals(3, limit.currentLimit());
    ticker.advance(2000, TimeUnit.MILLISECONDS);
    assertEquals(4, limit.currentLimit());
  }

  @Test
  void recoversSoonerAfterServerRejectedConnection() {
    limit.connectionRejected(2);
    assertEquals(2, limit.currentLimit());
    ticker.advance(251, TimeUnit.MILLISECONDS);
    assertEquals(3, limit.currentLimit());
  }

  @Test
  void currentLimitIsAtLeastOneAndAtLeastUsableConnections() {
    limit.connectionRejected(0);
    assertEquals(1, limit.currentLimit());
    limit.connectFailed(3);
    assertEquals(3, limit.currentLimit(), "three connections are usable");
  }

  @Test
  void dividesMaximumAmongProcesses() {
    budget.setPeerProcessUsage(1, 7);
    assertEquals(2, limit.currentLimit());
    assertEquals(2, limit.share());
    budget.setPeerProcessUsage(9, 7);
    assertEquals(1, limit.currentLimit(), "at least one connection is allowed");
  }
}
