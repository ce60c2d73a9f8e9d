package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class RestTest {
  private final Rest rest = new Rest();

  @Test
  void anErrorWithinAPauseBeginsItsOwnTime() {
    assertTrue(rest.atLeast(1000, 100), "a heavy sender's turn");
    assertFalse(rest.atLeast(1090, 250), "an error: somebody watches already");
    assertEquals(240, rest.left(1100));
    assertTrue(rest.on());
    assertEquals(0, rest.left(1340));
    assertFalse(rest.on());
  }

  @Test
  void aShorterReasonEndsNoLongerOne() {
    rest.atLeast(0, 250);
    rest.atLeast(10, 20);
    assertEquals(200, rest.left(50));
  }

  @Test
  void oneThatIsOverSaysNothingOfTheNext() {
    rest.atLeast(0, 250);
    assertEquals(0, rest.left(300));
    assertTrue(rest.atLeast(301, 5));
    assertEquals(3, rest.left(303));
  }
}
