package shalepaddle.settings;

/** The input violates its format; the message says where and how. */
public final class FormatException extends Exception {
  private static final long serialVersionUID = 1L;

  /** An exception with a message for whoever wrote the input. */
  public FormatException(String message) {
    super(message);
  }
}
