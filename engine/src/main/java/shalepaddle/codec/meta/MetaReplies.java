package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import shalepaddle.engine.Reply;

/** Encodes responses to clients. The caller owns the bytes that are returned. */
public final class MetaReplies {
  /**
   * A value up to this size is copied behind its line: one buffer costs less than three, and the
   * buffer that it was read into is not retained for a slow reader. A larger one is not copied.
   */
  private static final int MAX_COPIED_VALUE_BYTES = 2048;

  /** CRLF as a big-endian short. */
  static final int CRLF = 0x0D0A;

  private static final ByteBuf CRLF_BUFFER =
      Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}).asReadOnly());

  /** Length of a rejection with a Retry-After of up to ten seconds. */
  static final int BUSY_LINE_BYTES = 24;

  private static final String BUSY = WireNames.SERVER_ERROR + " " + WireNames.BUSY;

  private MetaReplies() {}

  /** The bytes of a reply, of a streamed value the head alone. A value in it belongs to this. */
  public static ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    if (reply instanceof Reply.Value served) {
      return value(allocator, id, served.value());
    }
    if (reply instanceof Reply.Streamed streamed) {
      return valueHead(allocator.buffer(id.length() + 16), id, streamed.length());
    }
    if (reply instanceof Reply.Receipt written) {
      return line(
          allocator,
          WireNames.STORED
              + " "
              + WireNames.REQUEST_ID
              + id
              + " "
              + WireNames.RECEIPT
              + written.receipt());
    }
    if (reply instanceof Reply.Rejected rejected) {
      return busy(allocator.buffer(BUSY_LINE_BYTES), rejected.retryAfterMillis());
    }
    return line(allocator, WireNames.SERVER_ERROR + " " + WireNames.FAILED);
  }

  /** Appends a rejection; a Retry-After of 0 is left out. Returns the bytes given. */
  static ByteBuf busy(ByteBuf bytes, long retryAfterMillis) {
    ByteBufUtil.writeAscii(bytes, BUSY);
    if (retryAfterMillis > 0) {
      bytes.writeByte(' ');
      ByteBufUtil.writeAscii(bytes, Long.toString(retryAfterMillis));
    }
    return bytes.writeShort(CRLF);
  }

  /** A line of ASCII text with its CRLF. */
  public static ByteBuf line(ByteBufAllocator allocator, String text) {
    ByteBuf line = allocator.buffer(text.length() + 2);
    ByteBufUtil.writeAscii(line, text);
    return line.writeShort(CRLF);
  }

  /** What follows the last chunk of a streamed value. */
  static ByteBuf streamEnd() {
    return CRLF_BUFFER.duplicate();
  }

  private static ByteBuf valueHead(ByteBuf head, String id, int length) {
    ByteBufUtil.writeAscii(head, WireNames.VALUE + " ");
    ByteBufUtil.writeAscii(head, Integer.toString(length));
    ByteBufUtil.writeAscii(head, " " + WireNames.REQUEST_ID);
    ByteBufUtil.writeAscii(head, id);
    return head.writeShort(CRLF);
  }

  private static ByteBuf value(ByteBufAllocator allocator, String id, ByteBuf value) {
    int length = value.readableBytes();
    boolean isCopied = length <= MAX_COPIED_VALUE_BYTES;
    ByteBuf head = allocator.buffer(id.length() + 16 + (isCopied ? length + 2 : 0));
    valueHead(head, id, length);
    if (isCopied) {
      try {
        return head.writeBytes(value, value.readerIndex(), length).writeShort(CRLF);
      } finally {
        value.release();
      }
    }
    return allocator.compositeBuffer(3).addComponents(true, head, value, CRLF_BUFFER.duplicate());
  }
}
