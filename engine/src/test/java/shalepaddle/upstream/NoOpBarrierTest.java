package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class NoOpBarrierTest {
  private final NoOpBarrier barrier = new NoOpBarrier();

  @Test
  void oneReplyPassesBarriersInFrontOfRequests() {
    for (int i = 0; i < 5; i++) {
      assertEquals(1, barrier.begin(true));
      assertFalse(barrier.takePassed());
      assertTrue(barrier.replyReceived());
      assertTrue(barrier.takePassed());
      assertFalse(barrier.takePassed());
    }
    assertFalse(barrier.isExhausted());
  }

  /** Guards against a late copy of a no-op's reply passing the next barrier. */
  @Test
  void copyOfReplyToEarlierNoOpDoesNotPassBarrier() {
    barrier.begin(false);
    assertTrue(barrier.replyReceived());
    assertTrue(barrier.takePassed());
    assertEquals(2, barrier.begin(true));
    assertTrue(barrier.replyReceived()); // The copy.
    assertFalse(barrier.takePassed());
    assertTrue(barrier.replyReceived());
    assertTrue(barrier.takePassed());
    assertTrue(barrier.replyReceived());
  }

  @Test
  void moreRepliesThanNoOpsAndCopiesAreInvalid() {
    barrier.begin(false);
    assertTrue(barrier.replyReceived());
    assertTrue(barrier.replyReceived());
    assertFalse(barrier.replyReceived());
  }

  @Test
  void laterBarrierReplacesEarlierOne() {
    barrier.begin(true);
    barrier.begin(true);
    assertTrue(barrier.replyReceived());
    assertFalse(barrier.takePassed());
    assertTrue(barrier.replyReceived());
    assertTrue(barrier.takePassed());
  }

  @Test
  void barriersThatNothingFollowsAreExhausted() {
    assertEquals(1, barrier.begin(false));
    assertEquals(2, barrier.begin(false));
    assertFalse(barrier.isExhausted());
    assertEquals(3, barrier.begin(false));
    assertTrue(barrier.isExhausted());
  }
}
