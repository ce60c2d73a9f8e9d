package shalepaddle.storage;

import java.io.IOException;

/** A directory that hides failed writes and syncs from its caller. Tests must detect it. */
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
        // Hidden: the caller goes on as if it had been written.
      }
    }

    @Override
    public void sync() throws IOException {
      try {
        file.sync();
      } catch (IOException e) {
        // Hidden, as above.
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
