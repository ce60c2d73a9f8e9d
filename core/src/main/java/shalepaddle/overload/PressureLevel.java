package shalepaddle.overload;

/** How short a {@link Resource} is. */
public enum PressureLevel {
  /** Enough is left. */
  CALM,
  /** It grows short: what is worth least should give way. */
  BUSY,
  /** It is all but gone: only what is worth most should go on. */
  FULL
}
