package shalepaddle.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The directory of a log is in use by another process. */
public final class LogDirectoryLockedException extends IOException {
  private static final long serialVersionUID = 1;

  LogDirectoryLockedException(Path directory) {
    super(directory + " is held by another process; each member has its own");
  }
}
