package shalepaddle.loop;

import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;

/**
 * A file of Linux in which the kernel tells statistics in one short line, or in the first of its
 * lines. It stays open, so that a look costs two system calls; its length does not grow with what
 * it tells of. On other systems nothing is known. Thread-safe.
 */
public final class StatisticsFile implements Closeable {
  private static final int MAX_LINE_BYTES = 1024;

  private final byte[] buffer = new byte[MAX_LINE_BYTES];

  /** Null if the system has no such file. */
  private final RandomAccessFile file;

  /** Opens the file of this path, if there is one. */
  public StatisticsFile(String path) {
    this.file = open(path);
  }

  private static RandomAccessFile open(String path) {
    try {
      return new RandomAccessFile(path, "r");
    } catch (IOException e) {
      return null;
    }
  }

  /** Whether the system has the file. */
  public boolean exists() {
    return file != null;
  }

  /**
   * The words of the first line behind its last occurrence of a character, as they are now; none if
   * nothing is known.
   */
  public synchronized String[] wordsBehind(char character) {
    if (file == null) {
      return new String[0];
    }
    try {
      file.seek(0);
      int bytes = file.read(buffer);
      String text = new String(buffer, 0, Math.max(0, bytes), StandardCharsets.ISO_8859_1);
      int lineEnd = text.indexOf('\n');
      String line = lineEnd < 0 ? text : text.substring(0, lineEnd);
      return line.substring(line.lastIndexOf(character) + 1).trim().split(" +", 0);
    } catch (IOException e) {
      return new String[0];
    }
  }

  @Override
  public void close() {
    try {
      if (file != null) {
        file.close();
      }
    } catch (IOException e) {
      // Nothing is left to be read.
    }
  }
}
