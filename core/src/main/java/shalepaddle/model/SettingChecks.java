package shalepaddle.model;

/** Checks of values that an operator sets. */
public final class SettingChecks {
  private SettingChecks() {}

  /**
   * Checks that a value is in its range, including the bounds.
   *
   * @param name the setting's name as the operator knows it
   * @throws IllegalArgumentException if it is not, or is NaN; the message gives the name and the
   *     range
   */
  public static void checkRange(String name, double value, double min, double max) {
    if (!(value >= min && value <= max)) {
      throw new IllegalArgumentException(
          "%s is %s, and must be from %s to %s".formatted(name, value, min, max));
    }
  }
}
