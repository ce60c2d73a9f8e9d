package shalepaddle.encoding;

import java.io.IOException;

/** Bytes are not in the format that is expected there. */
public final class MalformedMessageException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * With what was found.
   *
   * @param expected what belongs there
   * @param actual what was found instead
   */
  public MalformedMessageException(String expected, Object actual) {
    super("%s is expected, and not %s".formatted(expected, actual));
  }

  /** With the failure of the parser or of a decoder. */
  MalformedMessageException(Exception cause) {
    super(cause.getMessage(), cause);
  }
}
