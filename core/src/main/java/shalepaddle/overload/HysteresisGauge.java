package shalepaddle.overload;

/**
 * The pressure level of one resource, with hysteresis: the level rises at once and falls only after
 * several consecutive readings below a lower bound. Prevents measures from being switched on and
 * off with every reading. Cost: the level stays too high for some readings.
 *
 * <p>Not thread-safe.
 */
public final class HysteresisGauge {
  /**
   * The bounds between levels, in the unit of the readings.
   *
   * @param busyBound lower bound of {@link PressureLevel#BUSY}
   * @param fullBound lower bound of {@link PressureLevel#FULL}
   * @param releaseBound readings up to this one may lower the level {@code BUSY}
   * @param releaseReadings the number of consecutive low readings that lower the level
   */
  public record Bounds(
      double busyBound, double fullBound, double releaseBound, int releaseReadings) {
    /** Checks that the bounds are in ascending order. */
    public Bounds {
      if (!(releaseBound < busyBound && busyBound < fullBound) || releaseReadings < 1) {
        throw new IllegalArgumentException(
            ("bounds must satisfy release < busy < full and releaseReadings >= 1, but are"
                    + " release %s, busy %s, full %s, releaseReadings %d")
                .formatted(releaseBound, busyBound, fullBound, releaseReadings));
      }
    }
  }

  private final Bounds bounds;
  private PressureLevel level = PressureLevel.CALM;
  private int readingsBelowRelease;

  /** Creates a gauge at the lowest level. */
  public HysteresisGauge(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Updates the level by a reading and returns it. NaN does not change the level. */
  public PressureLevel update(double reading) {
    PressureLevel readingLevel =
        reading >= bounds.fullBound()
            ? PressureLevel.FULL
            : reading >= bounds.busyBound() ? PressureLevel.BUSY : PressureLevel.CALM;
    if (Double.isNaN(reading) || readingLevel.compareTo(level) >= 0) {
      readingsBelowRelease = 0;
      level = Double.isNaN(reading) ? level : readingLevel;
    } else if (reading > bounds.releaseBound() && level == PressureLevel.BUSY) {
      readingsBelowRelease = 0;
    } else if (++readingsBelowRelease >= bounds.releaseReadings()) {
      // Lowers the level one step at a time, so that load returns gradually.
      level = level == PressureLevel.FULL ? PressureLevel.BUSY : PressureLevel.CALM;
      readingsBelowRelease = 0;
    }
    return level;
  }

  /** The level after the last reading. */
  public PressureLevel level() {
    return level;
  }
}
