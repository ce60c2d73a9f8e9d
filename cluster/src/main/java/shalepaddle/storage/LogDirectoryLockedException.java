package shalepaddle.storage;

import java.io.IOException;
import java.nio.file.Path;

/** The directory of a log is locked by another process, or by another log store in this one. */
public final class LogDirectoryLockedException extends IOException {
  private static final long serialVersionUID = 1;

  LogDirectoryLockedException(Path directory) {
    super(directory + " is locked by another process; each member needs its own folder");
  }
}
