package shalepaddle.storage;

import java.io.IOException;

/** A segment is of a format version that this program can't read. */
public final class UnsupportedLogFormatException extends IOException {
  private static final long serialVersionUID = 1;

  UnsupportedLogFormatException(String path, int expected, int actual) {
    super(
        "%s is of format %d, and this version reads %d: start the version that wrote it"
            .formatted(path, actual, expected));
  }
}
