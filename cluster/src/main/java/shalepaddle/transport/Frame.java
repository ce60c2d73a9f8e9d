package shalepaddle.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;
import java.util.zip.CRC32;

/**
 * One message between members: magic, format version, kind, length and CRC-32 of the body, then the
 * body.
 *
 * @param kind what the body is
 * @param body at most {@value #MOST_BYTES} bytes
 */
// Never compared; owned by whoever reads it.
@SuppressWarnings("ArrayRecordComponent")
record Frame(Kind kind, byte[] body) {
  /** What a body is. */
  enum Kind {
    /** Who speaks, first on each connection. */
    HELLO(0),
    /** A message by which members agree. */
    AGREE(1),
    /** A question that wants an answer on the same connection. */
    ASK(2),
    /** The answer to one. */
    ANSWER(3),
    /** What a follower of the feed says. */
    FOLLOW(4),
    /** What a member tells its followers. */
    FEED(5);

    private static final List<Kind> BY_CODE = List.of(values());

    private final int code;

    Kind(int code) {
      this.code = code;
    }
  }

  static final int MOST_BYTES = 4 << 20;
  static final byte VERSION = 1;
  private static final short MAGIC = 0x5350;
  private static final int HEAD = 12;

  private static int checksum(byte[] body) {
    CRC32 crc = new CRC32();
    crc.update(body);
    return (int) crc.getValue();
  }

  ByteBuf write(ByteBufAllocator allocator) {
    return allocator
        .buffer(HEAD + body.length)
        .writeShort(MAGIC)
        .writeByte(VERSION)
        .writeByte(kind.code)
        .writeInt(body.length)
        .writeInt(checksum(body))
        .writeBytes(body);
  }

  /** Reads frames however they are cut; fails at the first byte that can't be one. */
  static final class Decoder extends ByteToMessageDecoder {
    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
      if (in.readableBytes() < HEAD) {
        return;
      }
      int at = in.readerIndex();
      int kind = in.getByte(at + 3);
      int length = in.getInt(at + 4);
      if (in.getShort(at) != MAGIC) {
        throw new CorruptedFrameException("these are no members' bytes");
      }
      if (in.getByte(at + 2) != VERSION) {
        throw new CorruptedFrameException(
            "version " + in.getByte(at + 2) + ", and this is " + VERSION);
      }
      if (kind < 0 || kind >= Kind.values().length || length < 0 || length > MOST_BYTES) {
        throw new CorruptedFrameException("kind " + kind + " of " + length + " bytes");
      }
      if (in.readableBytes() < HEAD + length) {
        return;
      }
      int sum = in.getInt(at + 8);
      byte[] body = new byte[length];
      in.skipBytes(HEAD).readBytes(body);
      if (sum != checksum(body)) {
        throw new CorruptedFrameException("damaged on the way");
      }
      out.add(new Frame(Kind.BY_CODE.get(kind), body));
    }
  }
}
