package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The parts of admission, each by itself. */
class AdmissionControllerTest {
  private static final long MILLI = 1_000_000L;

  private final PriorityTiers tiers = new PriorityTiers(LoopModel.settings(true).services(), 0.1);

  @Test
  void tiersAreOrderedByWorthAndRepeatsComeAfterFirstTries() {
    int submit = tiers.of(1, false, false);
    int submitAgain = tiers.of(1, true, false);
    int read = tiers.of(0, false, false);
    int readAgain = tiers.of(0, true, false);
    assertEquals(0, submit);
    assertTrue(submit < submitAgain && submitAgain < read && read < readAgain);
    assertTrue(readAgain < tiers.of(1, false, true), "past its share a tenant comes last");
    assertEquals(tiers.count() - 1, tiers.of(0, true, true));
  }

  @Test
  void theLimitFallsFastRisesSlowlyAndIsLifted() {
    AimdRateLimit limit = new AimdRateLimit(0.005);
    limit.update(0.004, 1000, 1000);
    assertFalse(limit.isLimiting(), "below the target nothing is limited");
    limit.update(0.05, 1000, 3000);
    assertEquals(700, limit.limitPerSecond(), 1, "cut by no more than three tenths");
    limit.update(0.03, 700, 3000);
    assertEquals(700, limit.limitPerSecond(), 1, "held while the queue drains");
    limit.update(0.005, 600, 3000);
    assertEquals(805, limit.limitPerSecond(), 1, "back where the delay stands at the target");
    limit.update(0.006, 600, 3000);
    assertEquals(
        528, limit.limitPerSecond(), 1, "an eighth off what was admitted, where it grows above it");
    limit.update(0.006, 528, 3000);
    assertEquals(
        607, limit.limitPerSecond(), 1, "back fast to what is known to go, where it grows no more");
    limit.update(0.0075, 528, 3000);
    assertEquals(449, limit.limitPerSecond(), 1, "cut again where it harms");
    int intervals = 0;
    while (limit.isLimiting()) {
      limit.update(0, 500, 500);
      intervals++;
    }
    assertTrue(intervals <= 30, "lifted within 3 s: " + intervals);
    for (int i = 0; i < 500; i++) {
      limit.update(1, 1, 1000);
    }
    assertEquals(10, limit.limitPerSecond(), 0.1, "never so low that nothing is learned");
    AimdRateLimit busy = new AimdRateLimit(0.005);
    for (int i = 0; i < 20; i++) {
      busy.update(0.1, 1000, 9000);
    }
    assertTrue(
        busy.limitPerSecond() > 200,
        "refusals may take the rest, not all: " + busy.limitPerSecond());
  }

  @Test
  void whatIsWorthMostPassesWholeAndTheBrinkInPart() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    long now = 1;
    admission.onIntervalEnd(0, now);
    for (int i = 0; i < 300; i++) {
      admission.admit(tiers.of(0, false, false), false);
      if (i % 10 == 0) {
        admission.admit(tiers.of(1, false, false), false);
      }
    }
    admission.onIntervalEnd(0.05, now + 100 * MILLI);
    assertTrue(admission.isLimiting());
    assertEquals(1, admission.admittedRatio(tiers.of(1, false, false)));
    double brink = admission.admittedRatio(tiers.of(0, false, false));
    assertEquals((3300 * 0.7 - 300) / 3000, brink, 0.01);
    assertEquals(0.02, admission.admittedRatio(tiers.count() - 1), 1.0, "nobody is locked out");
  }

  @Test
  void repeatsAreAShareOfFirstTriesWhileFewAreAdmitted() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    admission.onIntervalEnd(0, 1);
    admission.admit(0, false);
    admission.onIntervalEnd(0.015, 1 + 100 * MILLI);
    assertTrue(admission.isLimiting());
    int first = tiers.of(1, false, false);
    int again = tiers.of(1, true, false);
    int passed = 0;
    for (int i = 0; i < 1000; i++) {
      admission.admit(first, false);
      passed += admission.admit(again, true) ? 1 : 0;
    }
    assertTrue(passed <= 0.1 * 1000 + 20, "repeats admitted: " + passed);
    assertTrue(passed >= 20, "repeats admitted: " + passed);
  }

  @Test
  void adviceIsSpreadAndGrowsWithTheExcess() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    double least = 1;
    double most = 0;
    for (int i = 0; i < 1000; i++) {
      double advice = admission.retryAfterSeconds();
      least = Math.min(least, advice);
      most = Math.max(most, advice);
    }
    assertTrue(least >= 0.05 && least < 0.06 && most <= 0.15 && most > 0.14, least + " to " + most);
  }

  @Test
  void onlyTellingRefusesNothing() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DISABLED, tiers, 1);
    for (int i = 1; i < 20; i++) {
      admission.admit(0, false);
      admission.onIntervalEnd(1, i * 100L * MILLI);
    }
    assertFalse(admission.isLimiting());
  }

  @Test
  void repeatsAreGuessedWhereTheyAreNotMarked() {
    RetryInference guess = new RetryInference();
    assertFalse(guess.isLikelyRetry(42, 0, 0));
    guess.recordRejection(42, 0, 0);
    assertTrue(guess.isLikelyRetry(42, 0, 500 * MILLI));
    assertFalse(guess.isLikelyRetry(42, 1, 500 * MILLI), "another class");
    assertFalse(guess.isLikelyRetry(43, 0, 500 * MILLI), "another key");
    assertFalse(guess.isLikelyRetry(42, 0, 1500 * MILLI), "long ago");
  }

  @Test
  void aTenantPastItsShareIsToldFromOneWithin() {
    TenantQuotas shares = new TenantQuotas(LoopModel.settings(true).tenants(), 2);
    int past = 0;
    for (int i = 0; i < 1000; i++) {
      past += shares.isOverQuota(0, 1 + i * 10L * MILLI) ? 1 : 0;
    }
    assertEquals(1000 - 500 - 50, past, 20, "100 a second come, half of 100 are its share here");
    assertFalse(shares.isOverQuota(1, 1), "no quota, no share to be past");
    assertFalse(shares.isOverQuota(-1, 1), "unknown");
  }

  @Test
  void theIntakeServesByWorthAndTheNewestOnceItStands() {
    List<String> refused = new ArrayList<>();
    AdmissionQueue<String> intake = new AdmissionQueue<>(2, 4, 50 * MILLI, refused::add);
    intake.offer("read 1", 1, 0);
    intake.offer("read 2", 1, 0);
    intake.offer("submit", 0, 0);
    assertEquals("submit", intake.poll(MILLI));
    assertEquals("read 1", intake.poll(MILLI), "in order, while it is short-lived");
    for (int i = 1; i <= 5; i++) {
      intake.offer("late " + i, 1, (80 + i) * MILLI);
    }
    assertEquals(List.of("read 2", "late 1"), refused, "the oldest of the least worth give way");
    assertEquals("late 5", intake.poll(110 * MILLI), "the newest, once it stands");
    assertEquals(28 * MILLI, intake.oldestWaitNanos(110 * MILLI));
    assertEquals(null, intake.poll(200 * MILLI));
    assertEquals(List.of("read 2", "late 1", "late 2", "late 3", "late 4"), refused);
    assertEquals(0, intake.size());
    intake.offer("open", 0, 300 * MILLI);
    intake.rejectAll();
    assertEquals("open", refused.get(5));
  }

  @Test
  void memoryFreesBytesAndNeverSheds() {
    OverloadControl control =
        new OverloadControl(
            LoopModel.settings(true),
            OverloadConfig.DEFAULT,
            1,
            (resource, before, now, figure) -> {});
    for (long now = 0; now < 10_000 * MILLI; now += 25 * MILLI) {
      control.onLoopTurnEnd(now, now, 0);
      control.onResourceUsage(0.99, 0.95, 0.1, now);
    }
    assertEquals(PressureLevel.FULL, control.level(Resource.MEMORY));
    assertEquals(
        PressureLevel.CALM, control.level(Resource.CPU), "use of the processor alone is no lack");
    assertFalse(control.isShedding());
    assertEquals(new DegradationPolicy(4, 1_000_000_000L, true, 1), control.degradationPolicy());
    assertEquals(
        DegradationPolicy.CALM.maxIdleNanos(),
        DegradationPolicy.of(PressureLevel.FULL, PressureLevel.CALM, PressureLevel.CALM)
            .maxIdleNanos(),
        "a short processor closes no connection");
  }

  @Test
  void figuresOutOfRangeAreNamed() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> new OverloadConfig(true, 5, 0.02, 0.1, 0.05, 0.1));
    assertEquals("target_ms is 5000.0, and must be from 1.0 to 1000.0", e.getMessage());
  }
}
