package shalepaddle.overload;

import shalepaddle.model.ProtocolLimits;

/**
 * The figures that an operator may set, all others follow from these. The {@link #DEFAULT} ones are
 * meant to be left alone.
 *
 * @param isSheddingEnabled whether requests are refused for want of processor time at all
 * @param targetDelaySeconds seconds that every turn of the event loop may take before fewer are
 *     admitted
 * @param minAdmittedRatio the part of every tier that is admitted however short the processor is,
 *     from 0 to 1
 * @param retryRatio repeats admitted for each first try while few are admitted
 * @param maxQueueSeconds seconds for which a request may wait for the event loop before it is
 *     refused
 * @param minRetryAfterSeconds shortest time in seconds for which a refused client is asked to stay
 *     away
 */
public record OverloadConfig(
    boolean isSheddingEnabled,
    double targetDelaySeconds,
    double minAdmittedRatio,
    double retryRatio,
    double maxQueueSeconds,
    double minRetryAfterSeconds) {
  /**
   * Turns of 10 ms are seen by nobody whose requests take 50 ms and more, and one of the twice as
   * long that come now and then keeps below 20 ms; a fiftieth of every tier tells what serving it
   * would cost; a tenth of first tries in repeats mends single failures and feeds no storm.
   */
  public static final OverloadConfig DEFAULT = new OverloadConfig(true, 0.01, 0.02, 0.1, 0.05, 0.1);

  /** Measures and tells, and refuses nothing. */
  public static final OverloadConfig DISABLED =
      new OverloadConfig(false, 0.01, 0.02, 0.1, 0.05, 0.1);

  /**
   * Checks the figures.
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
