package shalepaddle.storage;

import java.io.IOException;

/**
 * An earlier write or sync failed, so nothing is written until {@link RaftLogStore#recover}
 * succeeds. The cause is the failure of that write or sync, or of the last attempt to recover.
 */
public final class LogStoreFailedException extends IOException {
  private static final long serialVersionUID = 1;

  LogStoreFailedException(IOException cause) {
    super(
        "the log store failed earlier and writes nothing until it is recovered: "
            + cause.getMessage(),
        cause);
  }
}
