package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import shalepaddle.engine.MemoryBudget;

class InboundSegmentsTest {
  private static final int BUDGET_BYTES = 100;

  private final MemoryBudget budget = new MemoryBudget(BUDGET_BYTES);
  private final InboundSegments segments = new InboundSegments(budget);

  private void add(String text, long arrivalMillis) {
    segments.add(
        UnpooledByteBufAllocator.DEFAULT,
        Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII),
        TimeUnit.MILLISECONDS.toNanos(arrivalMillis));
  }

  private String take(int maxBytes) {
    ByteBuf bytes = segments.take(maxBytes);
    String text = bytes.toString(StandardCharsets.US_ASCII);
    bytes.release();
    return text;
  }

  private static OptionalLong millis(long millis) {
    return OptionalLong.of(TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void earliestDeadlineIsThatOfRemainingSegments() {
    add("mg a v O1 Pc=read,d=30\r\n", 0);
    add("mg b v O2 Pc=read,d=10\r\n", 2);
    add("what\r\n", 20);
    add("mg c v O3 Pc=read,d=20\r\n", 40);
    assertEquals(millis(10), segments.earliestDeadlineNanos());
    take(Integer.MAX_VALUE);
    assertEquals(millis(60), segments.earliestDeadlineNanos());
    take(Integer.MAX_VALUE);
    take(Integer.MAX_VALUE);
    assertEquals(OptionalLong.empty(), segments.earliestDeadlineNanos());
  }

  @Test
  void deadlineSplitBetweenSegmentsIsFound() {
    add("mg a v O1 Pc=read,d=3", 0);
    add("0\r\n", 10);
    assertEquals(millis(40), segments.earliestDeadlineNanos());
  }

  @Test
  void bytesAreTakenInTheirOrder() {
    add("abc", 0);
    add("def", 1);
    add("ghi", 20);
    assertEquals("abcd", take(4));
    assertEquals("ef", take(4));
    assertEquals(TimeUnit.MILLISECONDS.toNanos(20), segments.firstArrivalNanos());
    assertEquals("ghi", take(4));
    assertTrue(segments.isEmpty());
  }

  /** Guards against a connection whose buffer is never empty using up the budget of all. */
  @Test
  void bytesThatWereTakenAreReturnedToTheBudget() {
    add("x".repeat(50), 0);
    for (int i = 0; i < 10; i++) {
      add("x".repeat(50), 10L * i);
      assertFalse(segments.exceedsBudget());
      take(50);
    }
    assertTrue(budget.reserve(BUDGET_BYTES - 50));
  }

  /** Guards against memory that grows as long as a client sends faster than it is served. */
  @Test
  void bytesThatWereTakenAreReleasedWhileMoreArrive() {
    InboundSegments busySegments = new InboundSegments(new MemoryBudget(1 << 20));
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    for (int i = 0; i < 10_000; i++) {
      busySegments.add(allocator, allocator.buffer().writeZero(1 << 10), 0);
      if (i > 4) {
        busySegments.take(1 << 10).release();
      }
    }
    assertTrue(
        allocator.metric().usedHeapMemory() < 100 << 10,
        "bytes in use: " + allocator.metric().usedHeapMemory());
    busySegments.clear();
  }

  @Test
  void budgetIsExceededUntilUncoveredBytesAreTaken() {
    add("x".repeat(60), 0);
    add("x".repeat(60), 10);
    assertTrue(segments.exceedsBudget());
    take(60);
    assertFalse(segments.exceedsBudget());
    segments.clear();
    assertTrue(budget.reserve(BUDGET_BYTES));
  }
}
