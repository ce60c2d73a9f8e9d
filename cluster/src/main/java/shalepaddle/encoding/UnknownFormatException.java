package shalepaddle.encoding;

import java.io.IOException;

/** A value has a format that this version does not know; a later version wrote it. */
public final class UnknownFormatException extends IOException {
  private static final long serialVersionUID = 1;

  /**
   * Creates an exception for a value.
   *
   * @param description a description of the value, with its article, such as "a message"
   * @param format the number of its format
   */
  public UnknownFormatException(String description, int format) {
    super("%s has format %d, which only a later version knows".formatted(description, format));
  }
}
