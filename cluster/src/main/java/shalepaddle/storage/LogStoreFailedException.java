package shalepaddle.storage;

import java.io.IOException;

/**
 * A write or a sync failed before, so nothing more is written until {@link RaftLogStore#recover}
 * succeeds. The cause is the first failure.
 */
public final class LogStoreFailedException extends IOException {
  private static final long serialVersionUID = 1;

  LogStoreFailedException(IOException cause) {
    super(
        "the log failed before, and nothing is written until it is recovered: "
            + cause.getMessage(),
        cause);
  }
}
