package shalepaddle.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Makes system calls of a real process fail and changes its wall clock while it runs.
 *
 * <p>A small C library is built with the machine's compiler and preloaded into the process.
 * Failures injected into the transport's Java code would not cover how the JDK and Netty themselves
 * handle a failed call, which is where faults of this kind were found.
 */
final class FaultySystemCalls implements Closeable {
  /** The system calls that can fail; the numbers match {@code enum call} of the C library. */
  enum Call {
    NONE(0),
    ACCEPT(1),
    CONNECT(2),
    SOCKET(3),
    READ(4),
    WRITE(5),
    SYNC(6),
    FILE_WRITE(7);

    private final int callNumber;

    Call(int callNumber) {
      this.callNumber = callNumber;
    }
  }

  /** Errors of system calls, with their numbers on Linux. */
  enum Errno {
    /** The call succeeds, but transfers a single byte. */
    SHORT(-1),
    EPERM(1),
    EINTR(4),
    EIO(5),
    EAGAIN(11),
    ENOMEM(12),
    ENFILE(23),
    EMFILE(24),
    ENOSPC(28),
    EPIPE(32),
    EADDRNOTAVAIL(99),
    ENETUNREACH(101),
    ECONNABORTED(103),
    ECONNRESET(104),
    ENOBUFS(105),
    ETIMEDOUT(110),
    ECONNREFUSED(111),
    EHOSTUNREACH(113);

    private final int errorNumber;

    Errno(int errorNumber) {
      this.errorNumber = errorNumber;
    }
  }

  private static final Path LIBRARY_SOURCE = Path.of("daemon/src/test/native/faulty_calls.c");
  private static final int MAX_RULES = 16;
  private static final int RULES_OFFSET = Long.BYTES;
  private static final int RULE_BYTES = 6 * Integer.BYTES;
  private static final int CONTROL_BYTES = RULES_OFFSET + MAX_RULES * RULE_BYTES;
  private static final int FAILED_CALLS_OFFSET = 5 * Integer.BYTES;

  private final Path library;
  private final Path controlFile;
  private final MappedByteBuffer controlBuffer;
  private int ruleCount;

  /** Creates the control file of one process, and builds the library in the same folder. */
  FaultySystemCalls(Path folder) throws IOException, InterruptedException {
    this(buildLibrary(folder), folder.resolve("faulty_calls.control"));
  }

  /** Creates the control file of one process, with a library that is built already. */
  FaultySystemCalls(Path library, Path controlFile) throws IOException {
    this.library = library;
    this.controlFile = controlFile;
    Files.write(controlFile, new byte[CONTROL_BYTES]);
    try (FileChannel channel =
        FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      controlBuffer = channel.map(FileChannel.MapMode.READ_WRITE, 0, CONTROL_BYTES);
    }
    controlBuffer.order(ByteOrder.nativeOrder());
  }

  /** Builds the library in a folder and returns its file. */
  static Path buildLibrary(Path folder) throws IOException, InterruptedException {
    Path library = folder.resolve("faulty_calls.so");
    Process compiler =
        new ProcessBuilder(
                "cc",
                "-shared",
                "-fPIC",
                "-O2",
                "-Wall",
                "-Wextra",
                "-Werror",
                "-o",
                library.toString(),
                LIBRARY_SOURCE.toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (compiler.waitFor() != 0) {
      throw new IOException(
          "cannot build " + LIBRARY_SOURCE + ": needs a working C compiler named cc");
    }
    return library;
  }

  /** Returns the environment variables with which the process must be started. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "FAULTY_CALLS", controlFile.toString());
  }

  /**
   * Adds a rule by which every n-th matching system call fails.
   *
   * @param port local or remote port of the socket, 0 for any
   * @param interval n; 1 makes each matching call fail
   */
  void addRule(Call call, Errno error, int port, int interval) {
    if (ruleCount == MAX_RULES) {
      throw new IllegalStateException("cannot add a rule: " + MAX_RULES + " rules exist already");
    }
    int offset = RULES_OFFSET + ruleCount++ * RULE_BYTES;
    controlBuffer.putInt(offset + Integer.BYTES, port);
    controlBuffer.putInt(offset + 2 * Integer.BYTES, error.errorNumber);
    controlBuffer.putInt(offset + 3 * Integer.BYTES, interval);
    controlBuffer.putInt(offset + 4 * Integer.BYTES, 0);
    controlBuffer.putInt(offset + FAILED_CALLS_OFFSET, 0);
    // The call's number is written last, since it activates the rule in the process.
    controlBuffer.putInt(offset, call.callNumber);
  }

  /** Returns how many system calls have failed because of the current rules. */
  int failedCalls() {
    int failedCalls = 0;
    for (int i = 0; i < ruleCount; i++) {
      failedCalls += controlBuffer.getInt(RULES_OFFSET + i * RULE_BYTES + FAILED_CALLS_OFFSET);
    }
    return failedCalls;
  }

  /** Removes all rules, so that no further system call fails. */
  void clearRules() {
    for (int i = 0; i < MAX_RULES; i++) {
      controlBuffer.putInt(RULES_OFFSET + i * RULE_BYTES, Call.NONE.callNumber);
    }
    ruleCount = 0;
  }

  /** Sets by how many seconds the process's wall clock is ahead of the machine's. */
  void setWallClockOffset(long aheadSeconds) {
    controlBuffer.putLong(0, TimeUnit.SECONDS.toNanos(aheadSeconds));
  }

  @Override
  public void close() {
    clearRules();
    setWallClockOffset(0);
  }
}
