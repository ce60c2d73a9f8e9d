package shalepaddle.sockets;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;

/**
 * Reads a table of TCP sockets in the form of Linux's {@code /proc/net/tcp}. Allocates nothing for
 * a row: a table may have very many. Not thread-safe.
 *
 * <p>An end of a connection is told as the last 32 bits of its address, as the table prints them,
 * followed by 16 bits of its port; so an IPv4 address has the same form in the table of IPv6.
 */
final class SocketTableReader {
  private static final int BUFFER_BYTES = 8192;
  private static final int BITS_PER_DIGIT = 4;
  private static final int PORT_BITS = 16;
  private static final long ADDRESS_MASK = 0xFFFF_FFFFL;
  private static final int DECIMAL_DIGITS = 10;

  // Columns of a row; columns are separated by spaces, and the first one is preceded by some.
  private static final int LOCAL_END_COLUMN = 1;
  private static final int REMOTE_END_COLUMN = 2;
  private static final int QUEUES_COLUMN = 4;

  /** Receives the rows of a table. */
  @FunctionalInterface
  interface RowHandler {
    /** Called for each row; returns false if the rest of the table is not needed. */
    boolean row(long localEnd, long remoteEnd, long sendQueueBytes);
  }

  private final byte[] buffer = new byte[BUFFER_BYTES];
  private boolean isHeader;
  private int column;
  private boolean isInColumn;
  private boolean isValid;
  private boolean isAfterColon;
  private long digits;
  private long beforeColon;
  private long localEnd;
  private long remoteEnd;
  private long sendQueueBytes;

  /** Passes rows to the handler while it needs them; rows of another form are left out. */
  void read(Path table, RowHandler handler) throws IOException {
    isHeader = true;
    beginRow();
    try (RandomAccessFile file = new RandomAccessFile(table.toFile(), "r")) {
      for (int bytes = file.read(buffer); bytes > 0; bytes = file.read(buffer)) {
        for (int i = 0; i < bytes; i++) {
          if (column > QUEUES_COLUMN) {
            i = indexOfRowEnd(i, bytes);
          }
          if (i < bytes && !accept(buffer[i], handler)) {
            return;
          }
        }
      }
    }
  }

  private void beginRow() {
    column = -1;
    isInColumn = false;
    isValid = true;
  }

  /** The index of the end of the row, from the given index on; the limit if it is not there. */
  private int indexOfRowEnd(int fromIndex, int limit) {
    int index = fromIndex;
    while (index < limit && buffer[index] != '\n') {
      index++;
    }
    return index;
  }

  private boolean accept(byte character, RowHandler handler) {
    if (character == '\n') {
      endColumn();
      boolean isRow = !isHeader && isValid && column >= QUEUES_COLUMN;
      isHeader = false;
      beginRow();
      return !isRow || handler.row(localEnd, remoteEnd, sendQueueBytes);
    }
    if (character == ' ') {
      endColumn();
    } else {
      acceptInColumn(character);
    }
    return true;
  }

  private void acceptInColumn(byte character) {
    if (!isInColumn) {
      isInColumn = true;
      isAfterColon = false;
      digits = 0;
      column++;
    }
    if (character == ':') {
      isAfterColon = true;
      beforeColon = digits;
      digits = 0;
      return;
    }
    int digit = digitOf(character);
    isValid &= digit >= 0 || column > QUEUES_COLUMN;
    digits = digits << BITS_PER_DIGIT | digit;
  }

  /** The value of a hexadecimal digit, negative for another character. */
  private static int digitOf(byte character) {
    if (character >= '0' && character <= '9') {
      return character - '0';
    }
    return character >= 'A' && character <= 'F' ? character - 'A' + DECIMAL_DIGITS : -1;
  }

  private void endColumn() {
    if (!isInColumn) {
      return;
    }
    isInColumn = false;
    switch (column) {
      case LOCAL_END_COLUMN -> localEnd = end();
      case REMOTE_END_COLUMN -> remoteEnd = end();
      case QUEUES_COLUMN -> {
        isValid &= isAfterColon;
        sendQueueBytes = beforeColon;
      }
      default -> {}
    }
  }

  private long end() {
    isValid &= isAfterColon;
    return (beforeColon & ADDRESS_MASK) << PORT_BITS | digits;
  }
}
