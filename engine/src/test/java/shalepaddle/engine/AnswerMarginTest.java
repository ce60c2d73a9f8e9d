package shalepaddle.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswerMarginTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  @ParameterizedTest
  @CsvSource({
    // Columns: time budget, expected stall and margin, in milliseconds.
    "2000, 0, 100",
    "800, 0, 100",
    "400, 0, 50",
    "40, 0, 5",
    "2000, 120, 120",
    "2000, 900, 150",
    "400, 900, 100",
    "400, 30, 50",
  })
  void reservesPartOfTimeBudgetForStalls(
      long budgetMillis, long expectedStallMillis, long marginMillis) {
    assertEquals(
        marginMillis * NANOS_PER_MILLI,
        AnswerMargin.marginNanos(
            budgetMillis * NANOS_PER_MILLI, expectedStallMillis * NANOS_PER_MILLI));
  }
}
