package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import shalepaddle.engine.Reply;

/** Puts answers into the words of the meta protocol. */
public final class MetaReplies {
  /**
   * A value up to this size is copied behind its line: one buffer costs less than three, and the
   * one that it was read into is not held for a slow reader. A larger one is passed on as it is.
   */
  private static final int COPIED = 2048;

  private static final ByteBuf CRLF =
      Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}).asReadOnly());

  /** Bytes of a refusal with advice of up to ten seconds. */
  static final int BUSY_LENGTH = 24;

  private MetaReplies() {}

  /** The answer's bytes; a value that it holds is used up. */
  public static ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    if (reply instanceof Reply.Value served) {
      return value(allocator, id, served.value());
    }
    if (reply instanceof Reply.Streamed pieces) {
      return valueHead(allocator.buffer(id.length() + 16), id, pieces.length());
    }
    if (reply instanceof Reply.Receipt written) {
      return line(allocator, "HD O" + id + " c" + written.receipt());
    }
    if (reply instanceof Reply.Rejected refused) {
      return busy(allocator.buffer(BUSY_LENGTH), refused.retryAfterMillis());
    }
    return line(allocator, "SERVER_ERROR failed");
  }

  /** Adds a refusal to the bytes, with advice to come again after so many milliseconds, or none. */
  static ByteBuf busy(ByteBuf bytes, long millis) {
    ByteBufUtil.writeAscii(bytes, "SERVER_ERROR busy");
    if (millis > 0) {
      bytes.writeByte(' ');
      ByteBufUtil.writeAscii(bytes, Long.toString(millis));
    }
    return bytes.writeShort(0x0D0A);
  }

  public static ByteBuf line(ByteBufAllocator allocator, String text) {
    ByteBuf line = allocator.buffer(text.length() + 2);
    ByteBufUtil.writeAscii(line, text);
    return line.writeShort(0x0D0A);
  }

  /** What follows the last piece of a value. */
  static ByteBuf valueEnd() {
    return CRLF.duplicate();
  }

  private static ByteBuf valueHead(ByteBuf head, String id, int length) {
    ByteBufUtil.writeAscii(head, "VA ");
    ByteBufUtil.writeAscii(head, Integer.toString(length));
    ByteBufUtil.writeAscii(head, " O");
    ByteBufUtil.writeAscii(head, id);
    return head.writeShort(0x0D0A);
  }

  private static ByteBuf value(ByteBufAllocator allocator, String id, ByteBuf value) {
    int length = value.readableBytes();
    boolean copied = length <= COPIED;
    ByteBuf head = allocator.buffer(id.length() + 16 + (copied ? length + 2 : 0));
    valueHead(head, id, length);
    if (copied) {
      try {
        return head.writeBytes(value, value.readerIndex(), length).writeShort(0x0D0A);
      } finally {
        value.release();
      }
    }
    return allocator.compositeBuffer(3).addComponents(true, head, value, CRLF.duplicate());
  }
}
