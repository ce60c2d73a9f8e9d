package shalepaddle.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import io.netty.handler.codec.CorruptedFrameException;
import java.util.List;

/**
 * Reads {@link Frame}s from a stream of bytes. Throws {@link CorruptedFrameException} as soon as
 * the header can't be that of a frame, or the checksum is wrong. One for each connection.
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
    int length = in.getInt(start + LENGTH_OFFSET);
    if (in.getShort(start) != Frame.MAGIC) {
      throw new CorruptedFrameException("these are no members' bytes");
    }
    byte version = in.getByte(start + VERSION_OFFSET);
    if (version != Frame.VERSION) {
      throw new CorruptedFrameException("version " + version + ", and this is " + Frame.VERSION);
    }
    Frame.Kind kind = Frame.Kind.ofCode(kindCode);
    if (kind == null || length < 0 || length > Frame.MAX_BODY_BYTES) {
      throw new CorruptedFrameException("kind " + kindCode + " of " + length + " bytes");
    }
    if (in.readableBytes() < Frame.HEADER_BYTES + length) {
      return;
    }
    int checksum = in.getInt(start + CHECKSUM_OFFSET);
    byte[] body = new byte[length];
    in.skipBytes(Frame.HEADER_BYTES).readBytes(body);
    if (checksum != Frame.checksum(body)) {
      throw new CorruptedFrameException("damaged on the way");
    }
    out.add(new Frame(kind, body));
  }
}
