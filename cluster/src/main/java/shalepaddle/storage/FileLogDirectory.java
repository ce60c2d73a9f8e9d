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

/** A real folder, held by one process at a time. */
public final class FileLogDirectory implements LogDirectory {
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lockFile;
  private final FileLock lock;

  /**
   * Takes a folder, which is made where there is none.
   *
   * @throws IOException if it can't be had, or another process holds it; says which
   */
  public FileLogDirectory(Path folder) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    lockFile =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock taken = null;
    try {
      taken = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      // By this very process: told below.
    }
    if (taken == null) {
      lockFile.close();
      throw new IOException(folder + " is held by another process; each member has its own");
    }
    lock = taken;
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      return files
          .map(file -> file.getFileName().toString())
          .filter(name -> !name.equals(LOCK))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name) throws IOException {
    return Files.readAllBytes(folder.resolve(name));
  }

  @Override
  public Appender create(String name) throws IOException {
    return new Channel(
        FileChannel.open(
            folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE));
  }

  @Override
  public Appender append(String name, long after) throws IOException {
    FileChannel file = FileChannel.open(folder.resolve(name), StandardOpenOption.WRITE);
    file.truncate(after);
    file.position(after);
    return new Channel(file);
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(folder.resolve(from), folder.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void syncNames() throws IOException {
    try (FileChannel names = FileChannel.open(folder, StandardOpenOption.READ)) {
      names.force(true);
    }
  }

  @Override
  public String location() {
    return folder.toString();
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }

  private record Channel(FileChannel file) implements Appender {
    @Override
    public void write(byte[] bytes) throws IOException {
      for (ByteBuffer left = ByteBuffer.wrap(bytes); left.hasRemaining(); ) {
        file.write(left);
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
