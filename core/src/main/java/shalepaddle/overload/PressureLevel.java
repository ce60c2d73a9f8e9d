package shalepaddle.overload;

/** How short a {@link Resource} is. */
public enum PressureLevel {
  /** Enough is left. */
  CALM(0),
  /** It grows short: what is worth least should give way. */
  BUSY(1),
  /** It is all but gone: only what is worth most should go on. */
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
