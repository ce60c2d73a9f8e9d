package shalepaddle.overload;

import shalepaddle.model.ProtocolLimits;

/**
 * What an operator may configure of overload control; all other figures follow from these.
 *
 * @param isSheddingEnabled whether requests are rejected for a shortage of processor time at all
 * @param targetDelaySeconds seconds that every turn of the event loop may take before fewer are
 *     admitted
 * @param minAdmittedRatio the part of every tier that is admitted however short the processor is,
 *     from 0 to 1
 * @param retryRatio retries admitted for each first attempt while requests are rejected
 * @param maxQueueSeconds seconds for which a request may wait for the event loop before it is
 *     refused
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
   * Turns of 10 ms are short against requests of 50 ms and more; a fiftieth of every tier shows
   * what serving it would cost; one retry in ten first attempts repairs single failures and feeds
   * no retry storm.
   */
  public static final OverloadConfig DEFAULT = new OverloadConfig(true, 0.01, 0.02, 0.1, 0.05, 0.1);

  /** Measures and reports, and rejects nothing. */
  public static final OverloadConfig DISABLED =
      new OverloadConfig(false, 0.01, 0.02, 0.1, 0.05, 0.1);

  /**
   * Checks the values.
   *
   * @throws IllegalArgumentException if one is out of its range; the message names it and the range
   */
  public OverloadConfig {
    ProtocolLimits.checkRange("target_ms", targetDelaySeconds * 1e3, 1, 1000);
    ProtocolLimits.checkRange("learn", minAdmittedRatio, 0.001, 0.5);
    ProtocolLimits.checkRange("repeats", retryRatio, 0, 10);
    ProtocolLimits.checkRange("waits_ms", maxQueueSeconds * 1e3, 1, 10_000);
    ProtocolLimits.checkRange("advice_ms", minRetryAfterSeconds * 1e3, 0, 60_000);
  }
}
