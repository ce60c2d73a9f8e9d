package shalepaddle.testkit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

class SharedResponseCheckTest {
  private static final long NANOS_PER_MILLI = 1_000_000;
  private static final SharedResponseCheck.PauseLookup NOT_PAUSED = (beginNanos, endNanos) -> 0;

  private final SharedResponseCheck check = new SharedResponseCheck();

  private void recordRead(String id, String target, String key, long atMillis) {
    check.recordRead(id, target, key, "read", atMillis * NANOS_PER_MILLI);
  }

  @Test
  void findViolationAcceptsValueOfEqualRead() {
    recordRead("a", "n0", "k", 0);
    recordRead("b", "n0", "k", 10);
    assertNull(check.findViolation("b", "k|a....", NOT_PAUSED));
    assertNull(check.findViolation("b", "k|b", NOT_PAUSED));
    assertNull(
        check.findViolation("a", "k|b", NOT_PAUSED), "value of an equal read that was sent later");
  }

  @Test
  void findViolationRejectsValueOfOtherKeyTargetOrClass() {
    recordRead("a", "n0", "other", 0);
    recordRead("b", "n1", "k", 0);
    check.recordRead("c", "n0", "k", "scan", 0);
    recordRead("r", "n0", "k", 10);
    assertEquals(
        "served with another key's value", check.findViolation("r", "other|a", NOT_PAUSED));
    for (String sourceId : new String[] {"a", "b", "c", "unknown"}) {
      assertEquals(
          "served with the value of " + sourceId + ", which is not an equal read",
          check.findViolation("r", "k|" + sourceId, NOT_PAUSED));
    }
    assertEquals("served with another key's value", check.findViolation("r", "noise", NOT_PAUSED));
  }

  @Test
  void findViolationRejectsValueRequestedBeforeWriteThatPrecedesRead() {
    recordRead("a", "n0", "k", 0);
    check.recordWrite("w0", "n0", "k", 5 * NANOS_PER_MILLI);
    check.recordWrite("w1", "n0", "other", 15 * NANOS_PER_MILLI);
    check.recordWrite("w2", "n0", "k", 15 * NANOS_PER_MILLI);
    check.recordWrite("w2", "n1", "k", 15 * NANOS_PER_MILLI);
    recordRead("b", "n0", "k", 10);
    recordRead("c", "n0", "k", 20);
    assertEquals(
        "served with the value of a, requested before a write that preceded this read",
        check.findViolation("b", "k|a", NOT_PAUSED));
    assertNull(check.findViolation("c", "k|b", NOT_PAUSED));
    assertNull(
        check.findViolation("b", "k|a", (beginNanos, endNanos) -> 1),
        "value of an equal read, whose order with the write is unknown because of a pause");
  }
}
