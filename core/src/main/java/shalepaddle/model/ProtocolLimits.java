package shalepaddle.model;

/** Checks of figures that somebody sets. */
public final class ProtocolLimits {
  private ProtocolLimits() {}

  /**
   * Checks that a figure lies in its range, the ends included.
   *
   * @param name as it is known to whoever set it
   * @throws IllegalArgumentException if it does not, or is no number; the message names it and the
   *     range
   */
  public static void checkRange(String name, double value, double least, double most) {
    if (!(value >= least && value <= most)) {
      throw new IllegalArgumentException(
          "%s is %s, and must be from %s to %s".formatted(name, value, least, most));
    }
  }
}
