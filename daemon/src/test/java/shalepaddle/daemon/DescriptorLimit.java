package shalepaddle.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;

/** Changes the limit on open descriptors of a running process with {@code prlimit}. */
final class DescriptorLimit {
  /** The hard limit stays the same, so that the soft limit can be raised without privileges. */
  private static final int HARD_LIMIT = 4096;

  private final long pid;

  DescriptorLimit(long pid) {
    this.pid = pid;
  }

  /** Returns how many descriptors the process has open. */
  int openDescriptors() throws IOException {
    try (Stream<Path> openDescriptors = Files.list(Path.of("/proc", Long.toString(pid), "fd"))) {
      return (int) openDescriptors.count();
    }
  }

  /** Sets the process's soft limit on open descriptors. */
  void setSoftLimit(int softLimit) throws IOException, InterruptedException {
    int exitCode =
        new ProcessBuilder(
                "prlimit", "--pid", Long.toString(pid), "--nofile=" + softLimit + ":" + HARD_LIMIT)
            .inheritIO()
            .start()
            .waitFor();
    if (exitCode != 0) {
      throw new IOException("prlimit for process " + pid + " exited with code " + exitCode);
    }
  }
}
