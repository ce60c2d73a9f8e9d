package shalepaddle.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The frames of a journal's file: length, CRC-32, kind and body of each record, one behind the
 * other. The checksum covers the length as well, so that a frame whose length is damaged is not
 * taken for one that was cut short.
 */
final class RecordFormat {
  /** Bytes of a body at most; a length past it is damage. */
  static final int MOST_BYTES = 16 << 20;

  private static final int HEAD = 9;

  private RecordFormat() {}

  /**
   * A record.
   *
   * @param kind what the body is
   */
  // Never compared; a copy would double what is read.
  @SuppressWarnings("ArrayRecordComponent")
  record Framed(byte kind, byte[] body) {}

  /**
   * What a file holds.
   *
   * @param whole the records up to the end, or to where they can't be read any more
   * @param length the bytes that those take
   * @param torn bytes behind them, of a write that a crash cut short
   */
  record Read(List<Framed> whole, long length, long torn) {}

  static byte[] frame(int kind, byte[] body) throws IOException {
    if (body.length > MOST_BYTES) {
      throw new IOException("a record of " + body.length + " bytes is too long");
    }
    ByteBuffer framed = ByteBuffer.allocate(HEAD + body.length);
    framed.putInt(body.length).putInt(0).put((byte) kind).put(body);
    framed.putInt(4, checksum(framed.array(), 0, body.length));
    return framed.array();
  }

  private static int checksum(byte[] bytes, int from, int length) {
    CRC32 crc = new CRC32();
    crc.update(bytes, from, 4);
    crc.update(bytes, from + 8, 1 + length);
    return (int) crc.getValue();
  }

  /** The length of the body of the whole record there, -1 if there is none. */
  private static int lengthAt(byte[] bytes, int from) {
    if (bytes.length - from < HEAD) {
      return -1;
    }
    int length = ByteBuffer.wrap(bytes, from, 4).getInt();
    if (length < 0 || length > MOST_BYTES || length > bytes.length - from - HEAD) {
      return -1;
    }
    int sum = ByteBuffer.wrap(bytes, from + 4, 4).getInt();
    return sum == checksum(bytes, from, length) ? length : -1;
  }

  /**
   * Reads a file's records. What can't be read at its end is a write that a crash cut short; where
   * a whole record follows it, something in the middle is damaged.
   *
   * @throws CorruptLogException if so
   */
  static Read read(String file, byte[] bytes) throws CorruptLogException {
    List<Framed> whole = new ArrayList<>();
    int at = 0;
    for (int length = lengthAt(bytes, at); length >= 0; length = lengthAt(bytes, at)) {
      byte[] body = new byte[length];
      System.arraycopy(bytes, at + HEAD, body, 0, length);
      whole.add(new Framed(bytes[at + 8], body));
      at += HEAD + length;
    }
    for (int later = at + 1; later < bytes.length; later++) {
      if (lengthAt(bytes, later) >= 0) {
        throw new CorruptLogException(
            "%s is damaged at byte %d, with whole records behind it: take this folder away, and let"
                    .formatted(file, at)
                + " the member join anew under a new name");
      }
    }
    return new Read(whole, at, bytes.length - at);
  }

  /** Some records, one behind the other. */
  static byte[] join(List<byte[]> framed) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    framed.forEach(all::writeBytes);
    return all.toByteArray();
  }
}
