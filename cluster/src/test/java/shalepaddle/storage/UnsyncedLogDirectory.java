package shalepaddle.storage;

import java.io.IOException;

/**
 * A disk that says to have forced what it has not: what a test of promises has to find out.
 *
 * @param begins whether what each file begins with is there all the same, and its name: a folder
 *     that is empty is a fresh one, and found out as such
 */
public record UnsyncedLogDirectory(LogDirectory disk, boolean begins)
    implements ForwardingLogDirectory {
  @Override
  public Appender create(String name) throws IOException {
    return new Unforced(disk.create(name), begins);
  }

  @Override
  public Appender append(String name, long after) throws IOException {
    return new Unforced(disk.append(name, after), false);
  }

  @Override
  public void syncNames() throws IOException {
    if (begins) {
      disk.syncNames();
    }
  }

  private static final class Unforced implements Appender {
    private final Appender file;
    private boolean forcesOnce;

    Unforced(Appender file, boolean forcesOnce) {
      this.file = file;
      this.forcesOnce = forcesOnce;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      file.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      if (forcesOnce) {
        file.sync();
        forcesOnce = false;
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
