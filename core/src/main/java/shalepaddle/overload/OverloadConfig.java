package shalepaddle.overload;

import shalepaddle.model.SettingChecks;

/**
 * The settings of overload control that an operator may change.
 *
 * @param isSheddingEnabled whether requests are rejected when processor time is short
 * @param targetDelaySeconds the minimum turn length of the event loop, in seconds, above which
 *     fewer requests are admitted
 * @param minAdmittedRatio the fraction of every tier that is always admitted, from 0 to 1
 * @param retryRatio retries admitted for each first attempt while requests are rejected
 * @param maxQueueSeconds seconds for which a request may wait for the event loop before it is
 *     rejected
 * @param minRetryAfterSeconds the shortest Retry-After of a rejection in seconds
 */
public record OverloadConfig(
    boolean isSheddingEnabled,
    double targetDelaySeconds,
    double minAdmittedRatio,
    double retryRatio,
    double maxQueueSeconds,
    double minRetryAfterSeconds) {
  /**
   * The default values. A target of 10 ms per turn is short compared with requests, which take 50
   * ms or more. Admitting 2% of every tier shows what serving it would cost. One retry per ten
   * first attempts covers single failures without supporting a retry storm.
   */
  public static final OverloadConfig DEFAULT = new OverloadConfig(true, 0.01, 0.02, 0.1, 0.05, 0.1);

  /** The settings with which overload is only measured and reported, and no request is rejected. */
  public static final OverloadConfig DISABLED =
      new OverloadConfig(false, 0.01, 0.02, 0.1, 0.05, 0.1);

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if a value is out of its range; the message names its setting
   *     and the range
   */
  public OverloadConfig {
    SettingChecks.checkRange("target_ms", targetDelaySeconds * 1e3, 1, 1000);
    SettingChecks.checkRange("learn", minAdmittedRatio, 0.001, 0.5);
    SettingChecks.checkRange("repeats", retryRatio, 0, 10);
    SettingChecks.checkRange("waits_ms", maxQueueSeconds * 1e3, 1, 10_000);
    SettingChecks.checkRange("advice_ms", minRetryAfterSeconds * 1e3, 0, 60_000);
  }
}
