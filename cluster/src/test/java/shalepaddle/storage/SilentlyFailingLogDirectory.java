package shalepaddle.storage;

import java.io.IOException;

/** A defective directory that hides failed writes and syncs from its caller. */
public record SilentlyFailingLogDirectory(LogDirectory delegate) implements ForwardingLogDirectory {
  @Override
  public Appender create(String name) throws IOException {
    return new SilentAppender(delegate.create(name));
  }

  private record SilentAppender(Appender file) implements Appender {
    @Override
    public void write(byte[] bytes) throws IOException {
      try {
        file.write(bytes);
      } catch (IOException e) {
        // The failure is hidden: the caller continues as if the bytes had been written.
      }
    }

    @Override
    public void sync() throws IOException {
      try {
        file.sync();
      } catch (IOException e) {
        // The failure is hidden: the caller continues as if the file had been synced.
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
