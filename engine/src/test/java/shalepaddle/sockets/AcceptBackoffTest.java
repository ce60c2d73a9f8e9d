package shalepaddle.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AcceptBackoffTest {
  private final AcceptBackoff backoff = new AcceptBackoff();

  @Test
  void nextDelayDoublesUpToMaximumUntilReset() {
    long previousDelayMillis = 0;
    for (int i = 0; i < 20; i++) {
      long delayMillis = backoff.nextDelayMillis();
      assertEquals(
          i == 0 ? AcceptBackoff.INITIAL_DELAY_MILLIS : Math.min(50, 2 * previousDelayMillis),
          delayMillis);
      previousDelayMillis = delayMillis;
    }
    assertEquals(AcceptBackoff.MAX_DELAY_MILLIS, previousDelayMillis);
    backoff.reset();
    assertEquals(AcceptBackoff.INITIAL_DELAY_MILLIS, backoff.nextDelayMillis());
  }
}
