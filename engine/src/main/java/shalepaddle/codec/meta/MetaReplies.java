package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import shalepaddle.engine.Reply;

/** Encodes responses to clients. The caller owns the returned bytes. */
public final class MetaReplies {
  /**
   * A value up to this size is copied after its line: one buffer costs less than three, and the
   * buffer that the value was read into is not retained for a slow reader. Larger values are not
   * copied.
   */
  private static final int MAX_COPIED_VALUE_BYTES = 2048;

  /** CRLF as a big-endian short. */
  static final int CRLF = 0x0D0A;

  private static final ByteBuf CRLF_BUFFER =
      Unpooled.unreleasableBuffer(Unpooled.wrappedBuffer(new byte[] {'\r', '\n'}).asReadOnly());

  /** Length of a rejection with a Retry-After below ten seconds, in bytes. */
  static final int BUSY_LINE_BYTES = 24;

  private static final String BUSY = WireNames.SERVER_ERROR + " " + WireNames.BUSY;

  private MetaReplies() {}

  /** Encodes a reply; of a streamed value only the head. Takes ownership of the reply's value. */
  public static ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply) {
    if (reply instanceof Reply.Value valueReply) {
      return encodeValue(allocator, id, valueReply.value());
    }
    if (reply instanceof Reply.Streamed streamedReply) {
      return appendValueHead(allocator.buffer(id.length() + 16), id, streamedReply.valueBytes());
    }
    if (reply instanceof Reply.Receipt receiptReply) {
      return encodeLine(
          allocator,
          WireNames.STORED
              + " "
              + WireNames.REQUEST_ID
              + id
              + " "
              + WireNames.RECEIPT
              + receiptReply.receipt());
    }
    if (reply instanceof Reply.Rejected rejection) {
      return appendBusy(allocator.buffer(BUSY_LINE_BYTES), rejection.retryAfterMillis());
    }
    return encodeLine(allocator, WireNames.SERVER_ERROR + " " + WireNames.FAILED);
  }

  /** Appends a rejection and returns {@code bytes}. A Retry-After of 0 is omitted. */
  static ByteBuf appendBusy(ByteBuf bytes, long retryAfterMillis) {
    ByteBufUtil.writeAscii(bytes, BUSY);
    if (retryAfterMillis > 0) {
      bytes.writeByte(' ');
      ByteBufUtil.writeAscii(bytes, Long.toString(retryAfterMillis));
    }
    return bytes.writeShort(CRLF);
  }

  /** Encodes a line of ASCII text with its CRLF. */
  public static ByteBuf encodeLine(ByteBufAllocator allocator, String text) {
    ByteBuf line = allocator.buffer(text.length() + 2);
    ByteBufUtil.writeAscii(line, text);
    return line.writeShort(CRLF);
  }

  /** Returns the bytes that follow the last chunk of a streamed value. */
  static ByteBuf encodeStreamEnd() {
    return CRLF_BUFFER.duplicate();
  }

  private static ByteBuf appendValueHead(ByteBuf head, String id, int valueBytes) {
    ByteBufUtil.writeAscii(head, WireNames.VALUE + " ");
    ByteBufUtil.writeAscii(head, Integer.toString(valueBytes));
    ByteBufUtil.writeAscii(head, " " + WireNames.REQUEST_ID);
    ByteBufUtil.writeAscii(head, id);
    return head.writeShort(CRLF);
  }

  private static ByteBuf encodeValue(ByteBufAllocator allocator, String id, ByteBuf value) {
    int valueBytes = value.readableBytes();
    boolean isCopied = valueBytes <= MAX_COPIED_VALUE_BYTES;
    ByteBuf head = allocator.buffer(id.length() + 16 + (isCopied ? valueBytes + 2 : 0));
    appendValueHead(head, id, valueBytes);
    if (isCopied) {
      try {
        return head.writeBytes(value, value.readerIndex(), valueBytes).writeShort(CRLF);
      } finally {
        value.release();
      }
    }
    return allocator.compositeBuffer(3).addComponents(true, head, value, CRLF_BUFFER.duplicate());
  }
}
