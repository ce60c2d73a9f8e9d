package shalepaddle.encoding;

import java.io.IOException;

/** A value is of a format that this version does not know; a later version made it. */
public final class UnknownFormatException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * With what was found.
   *
   * @param what the value, with its article, as "a message"
   * @param format the number of its format
   */
  public UnknownFormatException(String what, int format) {
    super("%s of form %d, made by a later version".formatted(what, format));
  }
}
