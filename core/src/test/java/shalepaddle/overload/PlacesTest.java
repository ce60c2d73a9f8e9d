package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who is refused while most places wait for answers. */
class PlacesTest {
  @Test
  void whatIsWorthLessIsRefusedSooner() {
    for (int tiers = 1; tiers < 9; tiers++) {
      for (double taken = 0; taken < 2; taken += 0.01) {
        assertFalse(Places.refuses(0, tiers, taken), "the first tier is never refused");
        for (int tier = 1; tier < tiers; tier++) {
          assertTrue(Places.refuses(tier, tiers, taken) || !Places.refuses(tier - 1, tiers, taken));
          assertFalse(taken < Places.LEAST_FROM && Places.refuses(tier, tiers, taken));
          assertTrue(taken < 1 || Places.refuses(tier, tiers, taken));
        }
      }
    }
  }

  @Test
  void theLeastTierIsRefusedFromItsPartOn() {
    assertEquals(false, Places.refuses(3, 4, 0.79));
    assertEquals(true, Places.refuses(3, 4, 0.81));
    assertEquals(false, Places.refuses(2, 4, 0.81));
  }
}
