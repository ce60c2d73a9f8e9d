package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with the time since the start. */
final class Rec {
  private static final long START = System.nanoTime();
  private static PrintWriter out;

  private Rec() {}

  static void open(Path file) {
    try {
      out = new PrintWriter(Files.newBufferedWriter(file), true);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /** Seconds since the start of the driver. */
  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static synchronized void line(String format, Object... args) {
    String text =
        String.format(Locale.ROOT, "%9.4f ", now()) + String.format(Locale.ROOT, format, args);
    out.println(text);
  }

  /** A line for the record and for standard output. */
  static void say(String format, Object... args) {
    line(format, args);
    System.out.println(String.format(Locale.ROOT, format, args));
  }
}
