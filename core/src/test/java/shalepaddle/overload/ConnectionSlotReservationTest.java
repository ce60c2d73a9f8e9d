package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests which tiers are rejected while most connection slots are in use. */
class ConnectionSlotReservationTest {
  @Test
  void rejectsLowerTiersAtLowerUse() {
    for (int tiers = 1; tiers < 9; tiers++) {
      for (double useRatio = 0; useRatio < 2; useRatio += 0.01) {
        assertFalse(
            ConnectionSlotReservation.rejects(0, tiers, useRatio),
            "the highest tier is never rejected");
        for (int tier = 1; tier < tiers; tier++) {
          assertTrue(
              ConnectionSlotReservation.rejects(tier, tiers, useRatio)
                  || !ConnectionSlotReservation.rejects(tier - 1, tiers, useRatio));
          assertFalse(
              useRatio < ConnectionSlotReservation.MIN_REJECTING_USE_RATIO
                  && ConnectionSlotReservation.rejects(tier, tiers, useRatio));
          assertTrue(useRatio < 1 || ConnectionSlotReservation.rejects(tier, tiers, useRatio));
        }
      }
    }
  }

  @Test
  void rejectsLowestTierAboveMinimumUse() {
    assertEquals(false, ConnectionSlotReservation.rejects(3, 4, 0.79));
    assertEquals(true, ConnectionSlotReservation.rejects(3, 4, 0.81));
    assertEquals(false, ConnectionSlotReservation.rejects(2, 4, 0.81));
  }
}
