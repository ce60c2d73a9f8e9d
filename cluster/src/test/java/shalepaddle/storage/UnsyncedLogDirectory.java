package shalepaddle.storage;

import java.io.IOException;

/**
 * A directory whose syncs return without effect. Tests must detect it.
 *
 * @param syncsFirstWrite whether the first sync of each file and those of names are made all the
 *     same: an empty directory would be mistaken for a new one
 */
public record UnsyncedLogDirectory(LogDirectory delegate, boolean syncsFirstWrite)
    implements ForwardingLogDirectory {
  @Override
  public Appender create(String name) throws IOException {
    return new UnsyncedAppender(delegate.create(name), syncsFirstWrite);
  }

  @Override
  public void syncNames() throws IOException {
    if (syncsFirstWrite) {
      delegate.syncNames();
    }
  }

  private static final class UnsyncedAppender implements Appender {
    private final Appender file;
    private boolean syncsOnce;

    UnsyncedAppender(Appender file, boolean syncsOnce) {
      this.file = file;
      this.syncsOnce = syncsOnce;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      file.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      if (syncsOnce) {
        file.sync();
        syncsOnce = false;
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
