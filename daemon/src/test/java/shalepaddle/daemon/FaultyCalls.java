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
 * System calls of a real process that fail, and its wall clock that steps, while it runs.
 *
 * <p>A small C library is built with the machine's compiler and preloaded into the process. A seam
 * in the transport would leave out what the Java platform and the transport do of themselves when a
 * call fails, which is where faults of this kind were found.
 */
final class FaultyCalls implements Closeable {
  /** The calls that can fail, in the order of the library's own list. */
  enum Call {
    NONE(0),
    ACCEPT(1),
    CONNECT(2),
    SOCKET(3),
    READ(4),
    WRITE(5),
    SYNC(6),
    FILE_WRITE(7);

    private final int number;

    Call(int number) {
      this.number = number;
    }
  }

  /** Errors by their number on Linux. */
  enum Errno {
    /** No error: the call moves a single byte. */
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

    private final int number;

    Errno(int number) {
      this.number = number;
    }
  }

  private static final Path SOURCE = Path.of("daemon/src/test/native/faulty_calls.c");
  private static final int MAX_RULES = 16;
  private static final int RULES_AT = Long.BYTES;
  private static final int RULE_BYTES = 6 * Integer.BYTES;
  private static final int SIZE = RULES_AT + MAX_RULES * RULE_BYTES;
  private static final int FAILED_AT = 5 * Integer.BYTES;

  private final Path library;
  private final Path file;
  private final MappedByteBuffer control;
  private int rules;

  /** Of one process, with the library built in that folder. */
  FaultyCalls(Path folder) throws IOException, InterruptedException {
    this(build(folder), folder.resolve("faulty_calls.control"));
  }

  /** Of one process, with a library that was built before and a control file of its own. */
  FaultyCalls(Path library, Path file) throws IOException {
    this.library = library;
    this.file = file;
    Files.write(file, new byte[SIZE]);
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      control = channel.map(FileChannel.MapMode.READ_WRITE, 0, SIZE);
    }
    control.order(ByteOrder.nativeOrder());
  }

  /** Builds the library in that folder. */
  static Path build(Path folder) throws IOException, InterruptedException {
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
                SOURCE.toString(),
                "-ldl")
            .inheritIO()
            .start();
    if (compiler.waitFor() != 0) {
      throw new IOException("cannot build " + SOURCE + ": a C compiler named cc is needed");
    }
    return library;
  }

  /** What the process needs in its environment. */
  Map<String, String> environment() {
    return Map.of("LD_PRELOAD", library.toString(), "FAULTY_CALLS", file.toString());
  }

  /**
   * From now on every n-th of these calls fails.
   *
   * @param port at either end of the socket, 0 for any
   */
  void fail(Call call, Errno error, int port, int every) {
    if (rules == MAX_RULES) {
      throw new IllegalStateException("more than " + MAX_RULES + " rules");
    }
    int at = RULES_AT + rules++ * RULE_BYTES;
    control.putInt(at + Integer.BYTES, port);
    control.putInt(at + 2 * Integer.BYTES, error.number);
    control.putInt(at + 3 * Integer.BYTES, every);
    control.putInt(at + 4 * Integer.BYTES, 0);
    control.putInt(at + FAILED_AT, 0);
    // Last, since the process takes the rule once it says which call it is for.
    control.putInt(at, call.number);
  }

  /** How many calls have failed since the rules were set. */
  int failed() {
    int failed = 0;
    for (int i = 0; i < rules; i++) {
      failed += control.getInt(RULES_AT + i * RULE_BYTES + FAILED_AT);
    }
    return failed;
  }

  /** All calls succeed again. */
  void clear() {
    for (int i = 0; i < MAX_RULES; i++) {
      control.putInt(RULES_AT + i * RULE_BYTES, Call.NONE.number);
    }
    rules = 0;
  }

  /** Sets the process's wall clock off by so long from the machine's. */
  void stepWallClock(long seconds) {
    control.putLong(0, TimeUnit.SECONDS.toNanos(seconds));
  }

  @Override
  public void close() {
    clear();
    stepWallClock(0);
  }
}
