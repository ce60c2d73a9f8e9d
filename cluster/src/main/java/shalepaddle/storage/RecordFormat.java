package shalepaddle.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The bytes of a segment: for each record the length of its body (4 bytes), a CRC-32 (4), its kind
 * (1) and the body. The checksum covers the length as well, so that a record whose length is
 * damaged is not mistaken for a partial write. Stateless.
 */
final class RecordFormat {
  /** Bytes of a body at most; a greater length is damage. */
  static final int MAX_BODY_BYTES = 16 << 20;

  private static final int HEADER_BYTES = 9;
  private static final int CHECKSUM_OFFSET = 4;
  private static final int KIND_OFFSET = 8;
  private static final int NO_RECORD = -1;

  private RecordFormat() {}

  /**
   * A record as it is stored.
   *
   * @param kind a code of {@link RecordKind}, or of a later version's
   */
  // Never compared; a copy would double what is read.
  @SuppressWarnings("ArrayRecordComponent")
  record StoredRecord(int kind, byte[] body) {}

  /**
   * What a segment holds.
   *
   * @param records the complete records, in order
   * @param partialBytes bytes after them, of a write that a crash cut short
   */
  record Segment(List<StoredRecord> records, long partialBytes) {}

  /**
   * The bytes of a record.
   *
   * @throws IOException if the body exceeds {@link #MAX_BODY_BYTES}
   */
  static byte[] encode(RecordKind kind, byte[] body) throws IOException {
    if (body.length > MAX_BODY_BYTES) {
      throw new IOException(
          "a record of %d bytes exceeds the limit of %d".formatted(body.length, MAX_BODY_BYTES));
    }
    ByteBuffer encoded = ByteBuffer.allocate(HEADER_BYTES + body.length);
    encoded.putInt(body.length).putInt(0).put((byte) kind.code()).put(body);
    encoded.putInt(CHECKSUM_OFFSET, checksum(encoded.array(), 0, body.length));
    return encoded.array();
  }

  private static int checksum(byte[] bytes, int position, int bodyLength) {
    CRC32 crc = new CRC32();
    crc.update(bytes, position, Integer.BYTES);
    crc.update(bytes, position + KIND_OFFSET, 1 + bodyLength);
    return (int) crc.getValue();
  }

  /** The body length of the complete record at a position, {@link #NO_RECORD} if there is none. */
  private static int bodyLengthAt(byte[] bytes, int position) {
    if (bytes.length - position < HEADER_BYTES) {
      return NO_RECORD;
    }
    int length = ByteBuffer.wrap(bytes, position, Integer.BYTES).getInt();
    if (length < 0 || length > MAX_BODY_BYTES || length > bytes.length - position - HEADER_BYTES) {
      return NO_RECORD;
    }
    int stored = ByteBuffer.wrap(bytes, position + CHECKSUM_OFFSET, Integer.BYTES).getInt();
    return stored == checksum(bytes, position, length) ? length : NO_RECORD;
  }

  /**
   * Reads a segment. Unreadable bytes at its end are a partial write; where a complete record
   * follows them, the segment is damaged.
   *
   * @param path for the message
   * @throws CorruptLogException if the segment is damaged
   */
  static Segment decode(String path, byte[] bytes) throws CorruptLogException {
    List<StoredRecord> records = new ArrayList<>();
    int position = 0;
    for (int length = bodyLengthAt(bytes, position);
        length != NO_RECORD;
        length = bodyLengthAt(bytes, position)) {
      byte[] body = new byte[length];
      System.arraycopy(bytes, position + HEADER_BYTES, body, 0, length);
      records.add(new StoredRecord(bytes[position + KIND_OFFSET], body));
      position += HEADER_BYTES + length;
    }
    for (int later = position + 1; later < bytes.length; later++) {
      if (bodyLengthAt(bytes, later) != NO_RECORD) {
        throw CorruptLogException.damagedAt(path, position);
      }
    }
    return new Segment(records, bytes.length - position);
  }

  /** The concatenation of encoded records. */
  static byte[] join(List<byte[]> encodedRecords) {
    ByteArrayOutputStream joined = new ByteArrayOutputStream();
    encodedRecords.forEach(joined::writeBytes);
    return joined.toByteArray();
  }
}
