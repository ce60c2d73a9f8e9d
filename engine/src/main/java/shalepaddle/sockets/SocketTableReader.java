package shalepaddle.sockets;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;

/**
 * Reads a table of TCP sockets in the form of Linux's {@code /proc/net/tcp}. A table may have very
 * many rows, so a row costs no allocation and few steps. Not thread-safe.
 *
 * <p>A row begins {@code 12: 0100007F:1F90 0100007F:C350 01 00000010:00000000 ...}: its number, the
 * local and the remote end, the state, and the send and receive queues, in hexadecimal digits. An
 * end is told as the last 32 bits of its address, as the table prints them, followed by 16 bits of
 * its port; so an IPv4 address has the same form in the table of IPv6.
 */
final class SocketTableReader {
  private static final int BUFFER_BYTES = 16 << 10;
  private static final int BITS_PER_DIGIT = 4;
  private static final int DECIMAL_DIGITS = 10;
  private static final int ADDRESS_DIGITS = 8;
  private static final int PORT_DIGITS = 4;
  private static final int PORT_BITS = 16;
  private static final int QUEUE_DIGITS = 8;

  /** The characters from the end of the remote port to the send queue: a state between spaces. */
  private static final int STATE_CHARACTERS = 4;

  /** Characters of a row up to its send queue, with the longest addresses and numbers. */
  private static final int MAX_USED_CHARACTERS = 128;

  private static final long INVALID = -1;

  /** Receives the rows of a table. */
  @FunctionalInterface
  interface RowHandler {
    /** Called for each row; returns false if the rest of the table is not needed. */
    boolean row(long localEnd, long remoteEnd, long sendQueueBytes);
  }

  private final byte[] buffer = new byte[BUFFER_BYTES];

  /** Passes rows to the handler while it needs them; rows of another form are left out. */
  void read(Path table, RowHandler handler) throws IOException {
    try (RandomAccessFile file = new RandomAccessFile(table.toFile(), "r")) {
      int filled = 0;
      boolean needsRows = true;
      while (needsRows) {
        int bytes = file.read(buffer, filled, buffer.length - filled);
        if (bytes <= 0) {
          return;
        }
        filled += bytes;
        int rowStart = 0;
        int rowEnd = indexOf('\n', rowStart, filled);
        while (rowEnd < filled && needsRows) {
          needsRows = handleRow(rowStart, rowEnd, handler);
          rowStart = rowEnd + 1;
          rowEnd = indexOf('\n', rowStart, filled);
        }
        // A row that fills the buffer is none of this form.
        int rest = filled - rowStart == buffer.length ? 0 : filled - rowStart;
        System.arraycopy(buffer, rowStart, buffer, 0, rest);
        filled = rest;
      }
    }
  }

  /** The index of a character from the given index on; the limit if it is not there. */
  private int indexOf(char character, int fromIndex, int limit) {
    int index = fromIndex;
    while (index < limit && buffer[index] != character) {
      index++;
    }
    return index;
  }

  private boolean handleRow(int start, int end, RowHandler handler) {
    int limit = Math.min(end, start + MAX_USED_CHARACTERS);
    int localColon = indexOf(':', indexOf(':', start, limit) + 1, limit);
    int remoteColon = indexOf(':', localColon + 1, limit);
    int queue = remoteColon + 1 + PORT_DIGITS + STATE_CHARACTERS;
    if (queue + QUEUE_DIGITS >= limit || buffer[queue + QUEUE_DIGITS] != ':') {
      return true;
    }
    long localEnd = endAround(localColon);
    long remoteEnd = endAround(remoteColon);
    long sendQueueBytes = hexNumber(queue, QUEUE_DIGITS);
    boolean isValid = localEnd != INVALID && remoteEnd != INVALID && sendQueueBytes != INVALID;
    return !isValid || handler.row(localEnd, remoteEnd, sendQueueBytes);
  }

  private long endAround(int colon) {
    long address = hexNumber(colon - ADDRESS_DIGITS, ADDRESS_DIGITS);
    long port = hexNumber(colon + 1, PORT_DIGITS);
    return address == INVALID || port == INVALID ? INVALID : address << PORT_BITS | port;
  }

  /** The number that so many digits make, or {@link #INVALID}. */
  private long hexNumber(int start, int digits) {
    long number = 0;
    for (int i = Math.max(0, start); i < start + digits; i++) {
      int digit = digitOf(buffer[i]);
      if (digit < 0) {
        return INVALID;
      }
      number = number << BITS_PER_DIGIT | digit;
    }
    return number;
  }

  /** The value of a hexadecimal digit, negative for another character. */
  private static int digitOf(byte character) {
    if (character >= '0' && character <= '9') {
      return character - '0';
    }
    return character >= 'A' && character <= 'F' ? character - 'A' + DECIMAL_DIGITS : -1;
  }
}
