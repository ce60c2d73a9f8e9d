package shalepaddle.encoding;

import java.io.IOException;

/** Bytes do not have the expected format. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for an unexpected value.
   *
   * @param expected a description of the expected value, with its article
   * @param actual the value or token that was found
   */
  public MalformedMessageException(String expected, Object actual) {
    super("expected %s, found %s".formatted(expected, actual));
  }

  /** Creates an exception for a failure of the parser or of a decoder. */
  MalformedMessageException(Exception cause) {
    super(cause.getMessage(), cause);
  }
}
