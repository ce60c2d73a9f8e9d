package shalepaddle.storage;

import java.io.IOException;

/**
 * A defective directory whose syncs return without effect.
 *
 * @param delegate the directory to which other calls are forwarded
 * @param firstSyncTakesEffect whether the first sync of each file and all syncs of the directory
 *     take effect nevertheless; without them a crash could leave an empty directory, which looks
 *     like a new one
 */
public record UnsyncedLogDirectory(LogDirectory delegate, boolean firstSyncTakesEffect)
    implements ForwardingLogDirectory {
  @Override
  public Appender create(String name) throws IOException {
    return new UnsyncedAppender(delegate.create(name), firstSyncTakesEffect);
  }

  @Override
  public void syncDirectory() throws IOException {
    if (firstSyncTakesEffect) {
      delegate.syncDirectory();
    }
  }

  private static final class UnsyncedAppender implements Appender {
    private final Appender file;
    private boolean nextSyncTakesEffect;

    UnsyncedAppender(Appender file, boolean nextSyncTakesEffect) {
      this.file = file;
      this.nextSyncTakesEffect = nextSyncTakesEffect;
    }

    @Override
    public void write(byte[] bytes) throws IOException {
      file.write(bytes);
    }

    @Override
    public void sync() throws IOException {
      if (nextSyncTakesEffect) {
        file.sync();
        nextSyncTakesEffect = false;
      }
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
