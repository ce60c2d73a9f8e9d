package shalepaddle.overload;

/** How short a {@link Resource} is. */
public enum PressureLevel {
  /** There is enough. */
  CALM(0),
  /** It is getting short: the measures of {@link DegradationPolicy} begin. */
  BUSY(1),
  /** It is nearly exhausted: those measures are at their strictest. */
  FULL(2);

  private final int severity;

  PressureLevel(int severity) {
    this.severity = severity;
  }

  /** 0 where enough is left, up to 2; the value that metrics show. */
  public int severity() {
    return severity;
  }
}
