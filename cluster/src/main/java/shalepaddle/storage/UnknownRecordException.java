package shalepaddle.storage;

import java.io.IOException;

/** A segment has a record of a kind that this version does not know. */
public final class UnknownRecordException extends IOException {
  private static final long serialVersionUID = 1;

  UnknownRecordException(String path, int kind) {
    super(
        "%s holds a record of kind %d, made by a later version: start that one"
            .formatted(path, kind));
  }
}
