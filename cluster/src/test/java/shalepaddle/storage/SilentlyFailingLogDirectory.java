package shalepaddle.storage;

import java.io.IOException;

/** A disk whose failures are not told to whoever writes: what a test has to find out. */
public record SilentlyFailingLogDirectory(LogDirectory disk) implements ForwardingLogDirectory {
  @Override
  public Appender create(String name) throws IOException {
    return new Silent(disk.create(name));
  }

  @Override
  public Appender append(String name, long after) throws IOException {
    return new Silent(disk.append(name, after));
  }

  private record Silent(Appender file) implements Appender {
    @Override
    public void write(byte[] bytes) throws IOException {
      try {
        file.write(bytes);
      } catch (IOException e) {
        // The writer goes on as if nothing had happened.
      }
    }

    @Override
    public void sync() throws IOException {
      try {
        file.sync();
      } catch (IOException e) {
        // As above.
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
