package shalepaddle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * The directory of a log's segment files. The interface is small so that a test can simulate a
 * crash at each call and check the state that a machine finds afterwards. Not thread-safe.
 */
public interface LogDirectory extends Closeable {
  /** The names of all files. */
  List<String> fileNames() throws IOException;

  /** The content of a file. */
  byte[] read(String name) throws IOException;

  /**
   * Creates an empty file for appending.
   *
   * @throws IOException if a file of that name exists
   */
  Appender create(String name) throws IOException;

  /** Renames a file atomically. No file with the new name may exist. */
  void rename(String oldName, String newName) throws IOException;

  /** Deletes a file if it exists. */
  void delete(String name) throws IOException;

  /** Syncs the directory: earlier creations, renames and deletions survive a power failure. */
  void syncDirectory() throws IOException;

  /** The directory's path, for messages. */
  String location();

  /** A file to which bytes are only appended. */
  interface Appender extends Closeable {
    /** Appends bytes, which may be lost in a power failure until {@link #sync}. */
    void write(byte[] bytes) throws IOException;

    /** Syncs the file: all bytes written before survive a power failure. */
    void sync() throws IOException;
  }
}
