package shalepaddle.storage;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32;

/**
 * The byte format of a segment. Each record consists of the length of its body (4 bytes), a CRC-32
 * (4 bytes), its kind (1 byte) and the body. The checksum also covers the length, so that a record
 * with a damaged length is detected as damage and not mistaken for an incomplete write. Stateless.
 */
final class RecordFormat {
  /** The maximum size of a record's body; a greater length field means damage. */
  static final int MAX_BODY_BYTES = 16 << 20;

  private static final int HEADER_BYTES = 9;
  private static final int CHECKSUM_OFFSET = 4;
  private static final int KIND_OFFSET = 8;
  private static final int NO_RECORD = -1;

  private RecordFormat() {}

  /**
   * A record as it is stored.
   *
   * @param kind a code of {@link RecordKind}, or a code that only a later version knows
   * @param body the encoded value
   */
  // The array is not copied, since a copy would double the memory for reading. Records are never
  // compared.
  @SuppressWarnings("ArrayRecordComponent")
  record StoredRecord(int kind, byte[] body) {}

  /**
   * The content of a segment.
   *
   * @param records the complete records, in order
   * @param partialBytes the size of an incomplete write after them, 0 for none
   */
  record Segment(List<StoredRecord> records, long partialBytes) {}

  /**
   * Encodes a record.
   *
   * @throws IOException if the body exceeds {@link #MAX_BODY_BYTES}
   */
  static byte[] encode(RecordKind kind, byte[] body) throws IOException {
    if (body.length > MAX_BODY_BYTES) {
      throw new IOException(
          "a record body of %d bytes exceeds the limit of %d bytes"
              .formatted(body.length, MAX_BODY_BYTES));
    }
    ByteBuffer encodedRecord = ByteBuffer.allocate(HEADER_BYTES + body.length);
    encodedRecord.putInt(body.length).putInt(0).put((byte) kind.code()).put(body);
    encodedRecord.putInt(CHECKSUM_OFFSET, checksum(encodedRecord.array(), 0, body.length));
    return encodedRecord.array();
  }

  private static int checksum(byte[] bytes, int position, int bodyLength) {
    CRC32 crc = new CRC32();
    crc.update(bytes, position, Integer.BYTES);
    crc.update(bytes, position + KIND_OFFSET, 1 + bodyLength);
    return (int) crc.getValue();
  }

  /** The body length of the record at a position, {@link #NO_RECORD} if none is complete there. */
  private static int bodyLengthAt(byte[] bytes, int position) {
    if (bytes.length - position < HEADER_BYTES) {
      return NO_RECORD;
    }
    int bodyLength = ByteBuffer.wrap(bytes, position, Integer.BYTES).getInt();
    if (bodyLength < 0
        || bodyLength > MAX_BODY_BYTES
        || bodyLength > bytes.length - position - HEADER_BYTES) {
      return NO_RECORD;
    }
    int storedChecksum = ByteBuffer.wrap(bytes, position + CHECKSUM_OFFSET, Integer.BYTES).getInt();
    return storedChecksum == checksum(bytes, position, bodyLength) ? bodyLength : NO_RECORD;
  }

  /**
   * Decodes a segment. Unreadable bytes at its end are an incomplete write; if a complete record
   * follows unreadable bytes, the segment is damaged.
   *
   * @param path the path of the segment, for the message
   * @throws CorruptLogException if the segment is damaged
   */
  static Segment decode(String path, byte[] bytes) throws CorruptLogException {
    List<StoredRecord> records = new ArrayList<>();
    int position = 0;
    for (int bodyLength = bodyLengthAt(bytes, position);
        bodyLength != NO_RECORD;
        bodyLength = bodyLengthAt(bytes, position)) {
      byte[] body = new byte[bodyLength];
      System.arraycopy(bytes, position + HEADER_BYTES, body, 0, bodyLength);
      records.add(new StoredRecord(bytes[position + KIND_OFFSET], body));
      position += HEADER_BYTES + bodyLength;
    }
    for (int laterPosition = position + 1; laterPosition < bytes.length; laterPosition++) {
      if (bodyLengthAt(bytes, laterPosition) != NO_RECORD) {
        throw CorruptLogException.damagedAt(path, position);
      }
    }
    return new Segment(records, bytes.length - position);
  }

  /** Concatenates encoded records. */
  static byte[] join(List<byte[]> encodedRecords) {
    ByteArrayOutputStream joinedRecords = new ByteArrayOutputStream();
    encodedRecords.forEach(joinedRecords::writeBytes);
    return joinedRecords.toByteArray();
  }
}
