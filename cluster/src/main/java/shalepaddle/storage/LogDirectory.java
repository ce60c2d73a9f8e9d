package shalepaddle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory of a log's segment files. The interface is small so that a test can stop at each
 * call and check what a machine finds after a crash there. Not thread-safe.
 */
public interface LogDirectory extends Closeable {
  /** The names of all files. */
  List<String> names() throws IOException;

  /** All bytes of a file. */
  byte[] read(String name) throws IOException;

  /**
   * Creates a file, to be written from its beginning.
   *
   * @throws IOException if there is one of that name
   */
  Appender create(String name) throws IOException;

  /** Renames a file to a name that no file has; atomic. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file, if there is one of that name. */
  void delete(String name) throws IOException;

  /** Returns once files that were created, renamed or deleted stay so after a power failure. */
  void syncNames() throws IOException;

  /** The directory's path, for messages. */
  String location();

  /** A file that is written from its beginning to its end. */
  interface Appender extends Closeable {
    /** Adds bytes at the end; a power failure may lose them until {@link #sync}. */
    void write(byte[] bytes) throws IOException;

    /** Returns once all bytes that were written survive a power failure. */
    void sync() throws IOException;
  }
}
