package shalepaddle.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One message on a connection. It consists of a magic number (2 bytes), the protocol version (1
 * byte), the kind (1 byte), the length of the body (4 bytes), a CRC-32 of the body (4 bytes) and
 * the body. {@link FrameDecoder} reads it.
 *
 * @param kind the type of the body
 * @param body the encoded message, at most {@value #MAX_BODY_BYTES} bytes
 */
// Never compared. The array is not copied: its reader owns it.
@SuppressWarnings("ArrayRecordComponent")
record Frame(Kind kind, byte[] body) {
  /** The type of a body. The codes are sent between members and never change. */
  enum Kind {
    /** {@link ControlMessages.Hello}, the first frame on each connection between members. */
    HELLO(0),
    /** A Raft message. */
    RAFT(1),
    /** {@link ControlMessages.Request}, answered on the same connection. */
    REQUEST(2),
    /** {@link ControlMessages.Response}. */
    RESPONSE(3),
    /** A message of a subscriber of the change feed. */
    SUBSCRIBER(4),
    /** A message of a publisher of the change feed. */
    PUBLISHER(5);

    /** All kinds, in the order of their codes. */
    private static final List<Kind> BY_CODE = List.of(values());

    private final int code;

    Kind(int code) {
      this.code = code;
    }

    /** The kind with a code, null if this version does not know the code. */
    static Kind ofCode(int code) {
      return code < 0 || code >= BY_CODE.size() ? null : BY_CODE.get(code);
    }
  }

  static final int MAX_BODY_BYTES = 4 << 20;
  static final int HEADER_BYTES = 12;
  static final short MAGIC = 0x5350;
  static final byte VERSION = 1;

  static int checksum(byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(body);
    return (int) crc.getValue();
  }

  /** Encodes the frame to a buffer that the caller must release. */
  ByteBuf encode(ByteBufAllocator allocator) {
    return allocator
        .buffer(HEADER_BYTES + body.length)
        .writeShort(MAGIC)
        .writeByte(VERSION)
        .writeByte(kind.code)
        .writeInt(body.length)
        .writeInt(checksum(body))
        .writeBytes(body);
  }
}
