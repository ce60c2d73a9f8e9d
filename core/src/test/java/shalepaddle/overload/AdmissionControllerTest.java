package shalepaddle.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Unit tests of the classes that decide on admission. */
class AdmissionControllerTest {
  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final PriorityTiers tiers =
      new PriorityTiers(EventLoopModel.settings(true).services(), 0.1);

  @Test
  void ordersTiersByWeightAndRetriesAfterFirstAttempts() {
    int submitTier = tiers.tierOf(1, false, false);
    int submitRetryTier = tiers.tierOf(1, true, false);
    int readTier = tiers.tierOf(0, false, false);
    int readRetryTier = tiers.tierOf(0, true, false);
    assertEquals(0, submitTier);
    assertTrue(
        submitTier < submitRetryTier && submitRetryTier < readTier && readTier < readRetryTier);
    assertTrue(
        readRetryTier < tiers.tierOf(1, false, true),
        "requests over quota have a lower priority than others");
    assertEquals(tiers.tierCount() - 1, tiers.tierOf(0, true, true));
  }

  @Test
  void decreasesLimitWhenDelayGrowsAndLiftsItWhenLoadFalls() {
    AimdRateLimit rateLimit = new AimdRateLimit(0.005);
    rateLimit.update(0.004, 1000, 1000);
    assertFalse(rateLimit.isLimiting(), "there is no limit while the delay is below the target");
    rateLimit.update(0.05, 1000, 3000);
    assertEquals(700, rateLimit.limitPerSecond(), 1, "the limit decreases by at most 30%");
    rateLimit.update(0.03, 700, 3000);
    assertEquals(
        700, rateLimit.limitPerSecond(), 1, "the limit is unchanged while the queue drains");
    rateLimit.update(0.005, 600, 3000);
    assertEquals(
        805,
        rateLimit.limitPerSecond(),
        1,
        "the limit increases fast while the delay is at the target");
    rateLimit.update(0.006, 600, 3000);
    assertEquals(
        528,
        rateLimit.limitPerSecond(),
        1,
        "the limit is 12% below the admitted rate when the delay grows above the target");
    rateLimit.update(0.006, 528, 3000);
    assertEquals(
        607,
        rateLimit.limitPerSecond(),
        1,
        "the limit increases fast up to the known capacity when the delay no longer grows");
    rateLimit.update(0.0075, 528, 3000);
    assertEquals(
        449,
        rateLimit.limitPerSecond(),
        1,
        "the limit decreases again when the delay is 1.5 times the target");
    int intervalCount = 0;
    while (rateLimit.isLimiting()) {
      rateLimit.update(0, 500, 500);
      intervalCount++;
    }
    assertTrue(intervalCount <= 30, "intervals until the limit is lifted: " + intervalCount);
    for (int i = 0; i < 500; i++) {
      rateLimit.update(1, 1, 1000);
    }
    assertEquals(10, rateLimit.limitPerSecond(), 0.1, "the limit never falls below the minimum");
    AimdRateLimit busyLimit = new AimdRateLimit(0.005);
    for (int i = 0; i < 20; i++) {
      busyLimit.update(0.1, 1000, 9000);
    }
    assertTrue(
        busyLimit.limitPerSecond() > 200,
        "the limit is at least a fraction of the known capacity: " + busyLimit.limitPerSecond());
  }

  @Test
  void admitsHighestTierCompletelyAndThresholdTierInPart() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    long now = 1;
    admission.onIntervalEnd(0, now);
    for (int i = 0; i < 300; i++) {
      admission.admit(tiers.tierOf(0, false, false), false);
      if (i % 10 == 0) {
        admission.admit(tiers.tierOf(1, false, false), false);
      }
    }
    admission.onIntervalEnd(0.05, now + 100 * NANOS_PER_MILLI);
    assertTrue(admission.isLimiting());
    assertEquals(1, admission.admittedRatio(tiers.tierOf(1, false, false)));
    double thresholdRatio = admission.admittedRatio(tiers.tierOf(0, false, false));
    assertEquals((3300 * 0.7 - 300) / 3000, thresholdRatio, 0.01);
    assertEquals(0.02, admission.admittedRatio(tiers.tierCount() - 1), 1.0, "no tier is starved");
  }

  @Test
  void limitsRetriesToRatioOfFirstAttemptsWhileLimiting() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    admission.onIntervalEnd(0, 1);
    admission.admit(0, false);
    admission.onIntervalEnd(0.015, 1 + 100 * NANOS_PER_MILLI);
    assertTrue(admission.isLimiting());
    int firstAttemptTier = tiers.tierOf(1, false, false);
    int retryTier = tiers.tierOf(1, true, false);
    int admittedRetries = 0;
    for (int i = 0; i < 1000; i++) {
      admission.admit(firstAttemptTier, false);
      admittedRetries += admission.admit(retryTier, true) ? 1 : 0;
    }
    assertTrue(admittedRetries <= 0.1 * 1000 + 20, "admitted retries: " + admittedRetries);
    assertTrue(admittedRetries >= 20, "admitted retries: " + admittedRetries);
  }

  @Test
  void spreadsRetryAfterAroundConfiguredMinimum() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DEFAULT, tiers, 1);
    double shortestRetryAfterSeconds = 1;
    double longestRetryAfterSeconds = 0;
    for (int i = 0; i < 1000; i++) {
      double retryAfterSeconds = admission.retryAfterSeconds();
      shortestRetryAfterSeconds = Math.min(shortestRetryAfterSeconds, retryAfterSeconds);
      longestRetryAfterSeconds = Math.max(longestRetryAfterSeconds, retryAfterSeconds);
    }
    assertTrue(
        shortestRetryAfterSeconds >= 0.05
            && shortestRetryAfterSeconds < 0.06
            && longestRetryAfterSeconds <= 0.15
            && longestRetryAfterSeconds > 0.14,
        "Retry-After of " + shortestRetryAfterSeconds + " to " + longestRetryAfterSeconds + " s");
  }

  @Test
  void neverLimitsWhenSheddingIsDisabled() {
    AdmissionController admission = new AdmissionController(OverloadConfig.DISABLED, tiers, 1);
    for (int i = 1; i < 20; i++) {
      admission.admit(0, false);
      admission.onIntervalEnd(1, i * 100L * NANOS_PER_MILLI);
    }
    assertFalse(admission.isLimiting());
  }

  @Test
  void infersRetriesFromRecentRejections() {
    RetryInference retryInference = new RetryInference();
    assertFalse(retryInference.isLikelyRetry(42, 0, 0));
    retryInference.recordRejection(42, 0, 0);
    assertTrue(retryInference.isLikelyRetry(42, 0, 500 * NANOS_PER_MILLI));
    assertFalse(
        retryInference.isLikelyRetry(42, 1, 500 * NANOS_PER_MILLI),
        "a request of another class is no retry");
    assertFalse(
        retryInference.isLikelyRetry(43, 0, 500 * NANOS_PER_MILLI),
        "a request for another key is no retry");
    assertFalse(
        retryInference.isLikelyRetry(42, 0, 1500 * NANOS_PER_MILLI),
        "a request is no retry more than 1 s after the rejection");
  }

  @Test
  void detectsTenantOverItsQuota() {
    TenantQuotas quotas = new TenantQuotas(EventLoopModel.settings(true).tenants(), 2);
    int overQuotaCount = 0;
    for (int i = 0; i < 1000; i++) {
      overQuotaCount += quotas.isOverQuota(0, 1 + i * 10L * NANOS_PER_MILLI) ? 1 : 0;
    }
    assertEquals(
        1000 - 500 - 50,
        overQuotaCount,
        20,
        "1000 requests in 10 s, of which this instance's half of the quota permits 500");
    assertFalse(quotas.isOverQuota(1, 1), "a tenant without a quota never exceeds it");
    assertFalse(quotas.isOverQuota(-1, 1), "an unknown tenant has no quota");
  }

  @Test
  void pollsByTierAndNewestFirstWhenQueueIsStanding() {
    List<String> rejectedItems = new ArrayList<>();
    AdmissionQueue<String> queue =
        new AdmissionQueue<>(2, 4, 50 * NANOS_PER_MILLI, rejectedItems::add);
    queue.offer("read 1", 1, 0);
    queue.offer("read 2", 1, 0);
    queue.offer("submit", 0, 0);
    assertEquals("submit", queue.poll(NANOS_PER_MILLI));
    assertEquals(
        "read 1",
        queue.poll(NANOS_PER_MILLI),
        "the order is first in, first out while the queue is short-lived");
    for (int i = 1; i <= 5; i++) {
      queue.offer("late " + i, 1, (80 + i) * NANOS_PER_MILLI);
    }
    assertEquals(
        List.of("read 2", "late 1"),
        rejectedItems,
        "the oldest requests of the lowest tier are rejected");
    assertEquals(
        "late 5",
        queue.poll(110 * NANOS_PER_MILLI),
        "the order is last in, first out in a standing queue");
    assertEquals(28 * NANOS_PER_MILLI, queue.oldestWaitNanos(110 * NANOS_PER_MILLI));
    assertEquals(null, queue.poll(200 * NANOS_PER_MILLI));
    assertEquals(List.of("read 2", "late 1", "late 2", "late 3", "late 4"), rejectedItems);
    assertEquals(0, queue.size());
    queue.offer("open", 0, 300 * NANOS_PER_MILLI);
    queue.rejectAll();
    assertEquals("open", rejectedItems.get(5));
  }

  @Test
  void doesNotShedWhenMemoryIsShort() {
    OverloadControl control =
        new OverloadControl(
            EventLoopModel.settings(true),
            OverloadConfig.DEFAULT,
            1,
            (resource, previousLevel, newLevel, reading) -> {});
    for (long now = 0; now < 10_000 * NANOS_PER_MILLI; now += 25 * NANOS_PER_MILLI) {
      control.onLoopTurnEnd(now, now, 0);
      control.onResourceUsage(0.99, 0.95, 0.1, now);
    }
    assertEquals(PressureLevel.FULL, control.level(Resource.MEMORY));
    assertEquals(
        PressureLevel.CALM,
        control.level(Resource.CPU),
        "high processor use without delay is no shortage of processor time");
    assertFalse(control.isShedding());
    assertEquals(new DegradationPolicy(4, 1_000_000_000L, true, 1), control.degradationPolicy());
    assertEquals(
        DegradationPolicy.CALM.maxIdleNanos(),
        DegradationPolicy.of(PressureLevel.FULL, PressureLevel.CALM, PressureLevel.CALM)
            .maxIdleNanos(),
        "a shortage of processor time closes no connections");
  }

  @Test
  void namesSettingThatIsOutOfRange() {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> new OverloadConfig(true, 5, 0.02, 0.1, 0.05, 0.1));
    assertEquals("target_ms is 5000.0, and must be from 1.0 to 1000.0", e.getMessage());
  }
}
