package shalepaddle.storage;

import java.io.IOException;

/**
 * What is on a disk can't be believed; the message says which file, what is wrong and what to do.
 */
public final class CorruptLogException extends IOException {
  private static final long serialVersionUID = 1;

  CorruptLogException(String message) {
    super(message);
  }
}
