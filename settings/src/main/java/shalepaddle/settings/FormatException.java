package shalepaddle.settings;

/** Thrown if an input violates its format; the message says where and how. */
public final class FormatException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message for the author of the input. */
  public FormatException(String message) {
    super(message);
  }
}
