package shalepaddle.overload;

import shalepaddle.model.ProtocolLimits;

/**
 * The figures that an operator may set, all others follow from these. The {@link #USUAL} ones are
 * meant to be left alone.
 *
 * @param sheds whether requests are refused for want of processor time at all
 * @param target seconds that every turn of the event loop may take before fewer are admitted
 * @param learn the part of every tier that is admitted however short the processor is, from 0 to 1
 * @param repeats repeats admitted for each first try while few are admitted
 * @param waits seconds for which a request may wait for the event loop before it is refused
 * @param advice shortest time in seconds for which a refused client is asked to stay away
 */
public record OverloadConfig(
    boolean sheds, double target, double learn, double repeats, double waits, double advice) {
  /**
   * Turns of 10 ms are seen by nobody whose requests take 50 ms and more, and one of the twice as
   * long that come now and then keeps below 20 ms; a fiftieth of every tier tells what serving it
   * would cost; a tenth of first tries in repeats mends single failures and feeds no storm.
   */
  public static final OverloadConfig USUAL = new OverloadConfig(true, 0.01, 0.02, 0.1, 0.05, 0.1);

  /** Measures and tells, and refuses nothing. */
  public static final OverloadConfig OFF = new OverloadConfig(false, 0.01, 0.02, 0.1, 0.05, 0.1);

  /**
   * Checks the figures.
   *
   * @throws IllegalArgumentException if one is out of its range; the message names it and the range
   */
  public OverloadConfig {
    ProtocolLimits.within("target_ms", target * 1e3, 1, 1000);
    ProtocolLimits.within("learn", learn, 0.001, 0.5);
    ProtocolLimits.within("repeats", repeats, 0, 10);
    ProtocolLimits.within("waits_ms", waits * 1e3, 1, 10_000);
    ProtocolLimits.within("advice_ms", advice * 1e3, 0, 60_000);
  }
}
