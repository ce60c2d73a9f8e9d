package shalepaddle.overload;

/**
 * The pressure level of one resource, with hysteresis: a level is reached at once and left only
 * after several readings in a row below a lower bound. Prevents measures that switch on and off
 * with every reading. Cost: some readings at too high a level.
 *
 * <p>Not thread-safe.
 */
public final class HysteresisGauge {
  /** Where levels begin and end, in the unit of the readings. */
  public record Bounds(double busy, double full, double release, int releaseReadings) {
    /** Checks that the bounds are in order. */
    public Bounds {
      if (!(release < busy && busy < full) || releaseReadings < 1) {
        throw new IllegalArgumentException(
            "bounds out of order: release %s, busy %s, full %s, calm readings %d"
                .formatted(release, busy, full, releaseReadings));
      }
    }
  }

  private final Bounds bounds;
  private PressureLevel level = PressureLevel.CALM;
  private int readingsBelowRelease;

  /** A gauge at the lowest level. */
  public HysteresisGauge(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Takes in a reading and returns the level from now on; NaN changes nothing. */
  public PressureLevel update(double value) {
    PressureLevel now =
        value >= bounds.full()
            ? PressureLevel.FULL
            : value >= bounds.busy() ? PressureLevel.BUSY : PressureLevel.CALM;
    if (Double.isNaN(value) || now.compareTo(level) >= 0) {
      readingsBelowRelease = 0;
      level = Double.isNaN(value) ? level : now;
    } else if (value > bounds.release() && level == PressureLevel.BUSY) {
      readingsBelowRelease = 0;
    } else if (++readingsBelowRelease >= bounds.releaseReadings()) {
      // One step down at a time, so that load returns in parts.
      level = level == PressureLevel.FULL ? PressureLevel.BUSY : PressureLevel.CALM;
      readingsBelowRelease = 0;
    }
    return level;
  }

  /** The level that the last reading led to. */
  public PressureLevel level() {
    return level;
  }
}
