package shalepaddle.storage;

import java.io.Closeable;
import java.io.IOException;
import java.util.List;

/**
 * A folder of files, as far as a journal needs one: few enough calls that a test can stop at each
 * of them and see what a machine would find after it.
 */
public interface LogDirectory extends Closeable {
  /** The names of all files. */
  List<String> names() throws IOException;

  /** All bytes of a file. */
  byte[] read(String name) throws IOException;

  /** Makes a file that is not there yet, to be written from its beginning. */
  Appender create(String name) throws IOException;

  /** Goes on writing a file after so many bytes; what was behind them is gone. */
  Appender append(String name, long after) throws IOException;

  /** Gives a file another name, of which there is none. */
  void rename(String from, String to) throws IOException;

  /** Deletes a file. */
  void delete(String name) throws IOException;

  /** Returns once names that were made, changed or deleted survive a stop of the machine. */
  void syncNames() throws IOException;

  /** Where it is, for people. */
  String location();

  /** A file that grows. */
  interface Appender extends Closeable {
    /** Adds bytes, which may be lost until {@link #sync}. */
    void write(byte[] bytes) throws IOException;

    /** Returns once all that was written survives a stop of the machine. */
    void sync() throws IOException;
  }
}
