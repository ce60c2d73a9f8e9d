package shalepaddle.settings;

/** What was read broke the rules of its format; the message tells where, and what is wrong. */
public final class FormatException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what is wrong with the input. */
  public FormatException(String message) {
    super(message);
  }
}
