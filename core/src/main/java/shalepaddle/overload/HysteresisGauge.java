package shalepaddle.overload;

/**
 * The level of one resource, from a figure of how short it is, with hysteresis: a level is reached
 * at once and left only after the figure has stayed below a lower bound for several readings in a
 * row. Guards against answers that switch on and off with every reading, each undoing what the
 * other measured. Costs some readings in which more gives way than must.
 *
 * <p>Not thread-safe.
 */
public final class HysteresisGauge {
  /** Where a level begins and ends, in the figure's own unit. */
  public record Bounds(double busy, double full, double release, int calmReadings) {
    /** Checks that the bounds are in order. */
    public Bounds {
      if (!(release < busy && busy < full) || calmReadings < 1) {
        throw new IllegalArgumentException(
            "bounds out of order: release %s, busy %s, full %s, calm readings %d"
                .formatted(release, busy, full, calmReadings));
      }
    }
  }

  private final Bounds bounds;
  private PressureLevel level = PressureLevel.CALM;
  private int calm;

  /** A calm one. */
  public HysteresisGauge(Bounds bounds) {
    this.bounds = bounds;
  }

  /** Takes a reading; returns the level from now on. A figure that is no number changes nothing. */
  public PressureLevel update(double figure) {
    PressureLevel now =
        figure >= bounds.full()
            ? PressureLevel.FULL
            : figure >= bounds.busy() ? PressureLevel.BUSY : PressureLevel.CALM;
    if (Double.isNaN(figure) || now.compareTo(level) >= 0) {
      calm = 0;
      level = Double.isNaN(figure) ? level : now;
    } else if (figure > bounds.release() && level == PressureLevel.BUSY) {
      calm = 0;
    } else if (++calm >= bounds.calmReadings()) {
      // One step down at a time: what was shut off comes back in parts.
      level = level == PressureLevel.FULL ? PressureLevel.BUSY : PressureLevel.CALM;
      calm = 0;
    }
    return level;
  }

  /** The level that the last reading led to. */
  public PressureLevel level() {
    return level;
  }
}
