package shalepaddle.daemon;

import java.io.Closeable;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * A named pipe that answers nobody: reads of it wait for ever, and writes too once it is full.
 * Stands for a log that nobody reads, and for a file of a disk that hangs.
 */
final class FullPipe implements Closeable {
  private final Path file;
  private final RandomAccessFile openEnds;

  /** Creates the pipe in a folder, empty; it is open until it is closed. */
  FullPipe(Path folder, String name) throws IOException, InterruptedException {
    file = folder.resolve(name);
    new ProcessBuilder("mkfifo", file.toString()).start().waitFor();
    // Both ends are open, so that neither the opening nor a writer finds the other end missing.
    openEnds = new RandomAccessFile(file.toFile(), "rw");
  }

  Path file() {
    return file;
  }

  /** Writes until the pipe accepts no more. */
  void fill() throws IOException, InterruptedException {
    Process writer =
        new ProcessBuilder("dd", "if=/dev/zero", "of=" + file, "bs=512", "oflag=nonblock")
            .redirectErrorStream(true)
            .start();
    writer.getInputStream().readAllBytes();
    writer.waitFor(10, TimeUnit.SECONDS);
  }

  @Override
  public void close() throws IOException {
    openEnds.close();
  }
}
