package shalepaddle.engine;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AnswerMarginTest {
  private static final long MILLI = 1_000_000;

  @ParameterizedTest
  @CsvSource({
    // budget, expected stall, margin, in ms
    "2000, 0, 100",
    "800, 0, 100",
    "400, 0, 50",
    "40, 0, 5",
    "2000, 120, 120",
    "2000, 900, 150",
    "400, 900, 100",
    "400, 30, 50",
  })
  void reservesPartOfTheTimeBudgetForStalls(long budget, long expectedStall, long margin) {
    assertEquals(margin * MILLI, AnswerMargin.of(budget * MILLI, expectedStall * MILLI));
  }
}
