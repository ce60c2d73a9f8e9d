package shalepaddle.storage;

import java.io.IOException;

/** A segment has a format version that this version of the program cannot read. */
public final class UnsupportedLogFormatException extends IOException {
  private static final long serialVersionUID = 1;

  UnsupportedLogFormatException(String path, int expected, int actual) {
    super(
        "%s has format version %d, expected %d: start the program version that wrote it"
            .formatted(path, actual, expected));
  }
}
