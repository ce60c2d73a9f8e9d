package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Who is refused while most places wait for answers. */
class ConnectionSlotReservationTest {
  @Test
  void whatIsWorthLessIsRefusedSooner() {
    for (int tiers = 1; tiers < 9; tiers++) {
      for (double taken = 0; taken < 2; taken += 0.01) {
        assertFalse(
            ConnectionSlotReservation.rejects(0, tiers, taken), "the first tier is never refused");
        for (int tier = 1; tier < tiers; tier++) {
          assertTrue(
              ConnectionSlotReservation.rejects(tier, tiers, taken)
                  || !ConnectionSlotReservation.rejects(tier - 1, tiers, taken));
          assertFalse(
              taken < ConnectionSlotReservation.MIN_REJECTING_USE_RATIO
                  && ConnectionSlotReservation.rejects(tier, tiers, taken));
          assertTrue(taken < 1 || ConnectionSlotReservation.rejects(tier, tiers, taken));
        }
      }
    }
  }

  @Test
  void theLeastTierIsRefusedFromItsPartOn() {
    assertEquals(false, ConnectionSlotReservation.rejects(3, 4, 0.79));
    assertEquals(true, ConnectionSlotReservation.rejects(3, 4, 0.81));
    assertEquals(false, ConnectionSlotReservation.rejects(2, 4, 0.81));
  }
}
