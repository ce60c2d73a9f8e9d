package shalepaddle.overload;

/** How short a {@link Resource} is. */
public enum PressureLevel {
  /** The resource is not short. */
  CALM(0),
  /** The resource is getting short: the measures of {@link DegradationPolicy} begin. */
  BUSY(1),
  /** The resource is nearly exhausted: the measures are at their strictest. */
  FULL(2);

  private final int severity;

  PressureLevel(int severity) {
    this.severity = severity;
  }

  /** The level as a number from 0 (sufficient) to 2 (nearly exhausted), as shown in metrics. */
  public int severity() {
    return severity;
  }
}
