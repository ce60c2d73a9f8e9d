package shalepaddle.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Decodes {@link Frame}s from a stream of bytes. Throws {@link CorruptedFrameException} if the
 * header is invalid, without waiting for the body, or if the checksum does not match. Each
 * connection needs its own decoder.
 */
final class FrameDecoder extends ByteToMessageDecoder {
  private static final int VERSION_OFFSET = 2;
  private static final int KIND_OFFSET = 3;
  private static final int LENGTH_OFFSET = 4;
  private static final int CHECKSUM_OFFSET = 8;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
    if (in.readableBytes() < Frame.HEADER_BYTES) {
      return;
    }
    int start = in.readerIndex();
    int kindCode = in.getByte(start + KIND_OFFSET);
    int bodyLength = in.getInt(start + LENGTH_OFFSET);
    if (in.getShort(start) != Frame.MAGIC) {
      throw new CorruptedFrameException(
          "wrong magic number, expected 0x%04x".formatted(Frame.MAGIC));
    }
    byte version = in.getByte(start + VERSION_OFFSET);
    if (version != Frame.VERSION) {
      throw new CorruptedFrameException(
          "protocol version " + version + ", expected " + Frame.VERSION);
    }
    Frame.Kind kind = Frame.Kind.ofCode(kindCode);
    if (kind == null || bodyLength < 0 || bodyLength > Frame.MAX_BODY_BYTES) {
      throw new CorruptedFrameException(
          "invalid frame header: kind " + kindCode + ", " + bodyLength + " bytes");
    }
    if (in.readableBytes() < Frame.HEADER_BYTES + bodyLength) {
      return;
    }
    int checksum = in.getInt(start + CHECKSUM_OFFSET);
    byte[] body = new byte[bodyLength];
    in.skipBytes(Frame.HEADER_BYTES).readBytes(body);
    if (checksum != Frame.checksum(body)) {
      throw new CorruptedFrameException("the checksum of the body does not match");
    }
    out.add(new Frame(kind, body));
  }
}
