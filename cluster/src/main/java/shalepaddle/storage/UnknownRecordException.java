package shalepaddle.storage;

import java.io.IOException;

/** A segment contains a record of a kind that this version does not know. */
public final class UnknownRecordException extends IOException {
  private static final long serialVersionUID = 1;

  UnknownRecordException(String path, int kind) {
    super(
        "%s contains a record of kind %d, written by a later version: start that version"
            .formatted(path, kind));
  }
}
