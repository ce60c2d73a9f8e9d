package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Payload;

/**
 * A meta command as its client sent it. The value of a write is retained until the request has
 * ended, for retries; the budget limits the values of all writes. Owned by the engine once it is
 * submitted.
 */
final class MetaPayload implements Payload {
  private final byte[] line;
  private final int deadlineStart;
  private final int deadlineEnd;
  private final MemoryBudget budget;

  /** The value with its CRLF, owned by this payload; null for a read, or once it is released. */
  private ByteBuf valueBlock;

  /**
   * Creates a payload without a value.
   *
   * @param line the command line without its CRLF
   * @param deadlineStart the index of the deadline's first digit in the line
   * @param deadlineEnd the index after the deadline's last digit
   * @param budget limits the values of all writes
   */
  MetaPayload(byte[] line, int deadlineStart, int deadlineEnd, MemoryBudget budget) {
    this.line = line;
    this.deadlineStart = deadlineStart;
    this.deadlineEnd = deadlineEnd;
    this.budget = budget;
  }

  /** Reserves memory for a value of this size; returns false if the budget is used up. */
  boolean reserveValue(ByteBufAllocator allocator, int valueBytes) {
    if (!budget.reserve(valueBytes + MetaLine.CRLF_BYTES)) {
      return false;
    }
    valueBlock =
        allocator.buffer(valueBytes + MetaLine.CRLF_BYTES, valueBytes + MetaLine.CRLF_BYTES);
    return true;
  }

  /** Copies the next {@code bytes} bytes of the value. */
  void appendValue(ByteBuf in, int bytes) {
    valueBlock.writeBytes(in, bytes);
  }

  /** Appends the CRLF that ends the value. */
  void endValue() {
    valueBlock.writeShort(MetaReplies.CRLF);
  }

  @Override
  public ByteBuf value() {
    return valueBlock == null
        ? null
        : valueBlock.slice(0, valueBlock.readableBytes() - MetaLine.CRLF_BYTES);
  }

  /**
   * Encodes the request for a cache server: the bytes that the client sent, with this node's
   * time-out as the deadline. The caller owns the returned bytes.
   */
  ByteBuf encode(ByteBufAllocator allocator, long timeoutMillis) {
    byte[] deadlineDigits =
        Long.toString(Math.max(1, timeoutMillis)).getBytes(StandardCharsets.US_ASCII);
    ByteBuf head = allocator.buffer(line.length + deadlineDigits.length + MetaLine.CRLF_BYTES);
    head.writeBytes(line, 0, deadlineStart).writeBytes(deadlineDigits);
    head.writeBytes(line, deadlineEnd, line.length - deadlineEnd).writeShort(MetaReplies.CRLF);
    return valueBlock == null
        ? head
        : allocator.compositeBuffer(2).addComponents(true, head, valueBlock.retainedDuplicate());
  }

  @Override
  public void release() {
    if (valueBlock != null) {
      budget.release(valueBlock.capacity());
      valueBlock.release();
      valueBlock = null;
    }
  }
}
