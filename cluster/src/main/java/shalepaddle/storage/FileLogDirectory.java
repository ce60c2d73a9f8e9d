package shalepaddle.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/**
 * A log directory in the file system. It is locked against other processes from its construction
 * until {@link #close}.
 */
public final class FileLogDirectory implements LogDirectory {
  private static final String LOCK_FILE = "lock";

  private final Path directory;
  private final FileChannel lockFile;
  private final FileLock lock;

  /**
   * Creates the directory if it does not exist, and locks it.
   *
   * @throws LogDirectoryLockedException if another process, or another log store in this process,
   *     has locked it
   * @throws IOException if the directory cannot be created or opened
   */
  public FileLogDirectory(Path directory) throws IOException {
    this.directory = directory;
    Files.createDirectories(directory);
    lockFile =
        FileChannel.open(
            directory.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    lock = tryLock(lockFile);
    if (lock == null) {
      lockFile.close();
      throw new LogDirectoryLockedException(directory);
    }
  }

  /** Locks a file. Returns the lock, null if the file is locked already. */
  private static FileLock tryLock(FileChannel lockFile) throws IOException {
    try {
      return lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      // This process has locked the file already, which tryLock reports by an exception.
      return null;
    }
  }

  @Override
  public List<String> fileNames() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK_FILE))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(directory.resolve(name));
  }

  @Override
  public Appender create(String name) throws IOException {
    return new ChannelAppender(
        FileChannel.open(
            directory.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
  }

  @Override
  public void rename(String oldName, String newName) throws IOException {
    Files.move(
        directory.resolve(oldName), directory.resolve(newName), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(directory.resolve(name));
  }

  @Override
  public void syncDirectory() throws IOException {
    try (FileChannel directoryChannel = FileChannel.open(directory, StandardOpenOption.READ)) {
      directoryChannel.force(true);
    }
  }

  @Override
  public String location() {
    return directory.toString();
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }

  private record ChannelAppender(FileChannel file) implements Appender {
    @Override
    public void write(byte[] bytes) throws IOException {
      for (ByteBuffer remainingBytes = ByteBuffer.wrap(bytes); remainingBytes.hasRemaining(); ) {
        file.write(remainingBytes);
      }
    }

    @Override
    public void sync() throws IOException {
      file.force(false);
    }

    @Override
    public void close() throws IOException {
      file.close();
    }
  }
}
