package shalepaddle.loop;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against callers that wait for the reader of the log. */
@Timeout(30)
class LogWriterTest {
  private static final int PIPE_BYTES = 64;
  private static final long LONG_MILLIS = 10_000;
  private static final String DROPPED_PREFIX = "event=log_lines_dropped lines=";

  private final PipedInputStream pipe = new PipedInputStream(PIPE_BYTES);
  private final LogWriter writer = new LogWriter(newStream(pipe));

  private static PrintStream newStream(PipedInputStream pipe) {
    try {
      return new PrintStream(new PipedOutputStream(pipe), true, StandardCharsets.US_ASCII);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Test
  void writesLinesInOrderBeforeFlushReturns() throws IOException {
    writer.accept("first");
    writer.accept("second");
    assertTrue(writer.flush(LONG_MILLIS));
    assertEquals("first\nsecond\n", new String(pipe.readNBytes(13), StandardCharsets.US_ASCII));
  }

  @Test
  void acceptAndFlushReturnWhenNobodyReads() {
    for (int i = 0; i < 1000; i++) {
      writer.accept("a line that is longer than a part of the pipe");
    }
    assertFalse(writer.flush(50));
  }

  @Test
  void reportsDroppedLinesOnceStreamIsRead() throws IOException {
    int lines = 1000;
    for (int i = 0; i < lines; i++) {
      writer.accept("line " + i);
    }
    var reader = new BufferedReader(new InputStreamReader(pipe, StandardCharsets.US_ASCII));
    int readLines = 0;
    int droppedLines = 0;
    int lastNumber = -1;
    while (readLines + droppedLines < lines) {
      String line = reader.readLine();
      if (line.startsWith(DROPPED_PREFIX)) {
        droppedLines += Integer.parseInt(line.substring(DROPPED_PREFIX.length()));
      } else {
        int number = Integer.parseInt(line.substring("line ".length()));
        assertTrue(number > lastNumber, line + " after line " + lastNumber);
        lastNumber = number;
        readLines++;
      }
    }
    assertEquals(lines, readLines + droppedLines);
    assertTrue(droppedLines > 0 && readLines >= 256, droppedLines + " lines dropped");
    assertTrue(writer.flush(LONG_MILLIS));
  }
}
