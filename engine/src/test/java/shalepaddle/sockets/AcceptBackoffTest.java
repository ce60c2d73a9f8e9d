package shalepaddle.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class AcceptBackoffTest {
  private final AcceptBackoff backoff = new AcceptBackoff();

  @Test
  void doublesDelayUpToMaximum() {
    long last = 0;
    for (int i = 0; i < 20; i++) {
      long delay = backoff.nextDelayMillis();
      assertEquals(i == 0 ? AcceptBackoff.INITIAL_MILLIS : Math.min(50, 2 * last), delay);
      last = delay;
    }
    assertEquals(AcceptBackoff.MAX_MILLIS, last);
    backoff.reset();
    assertEquals(AcceptBackoff.INITIAL_MILLIS, backoff.nextDelayMillis());
  }
}
