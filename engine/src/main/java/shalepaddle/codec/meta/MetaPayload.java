package shalepaddle.codec.meta;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Payload;

/**
 * A meta command as its client sent it. A write keeps its value until the request has ended, for
 * retries; the budget bounds the values of all writes. Owned by the engine from the submit on.
 */
final class MetaPayload implements Payload {
  private final byte[] line;
  private final int deadlineStart;
  private final int deadlineEnd;
  private final MemoryBudget budget;

  /** The value with its CRLF, owned here; null for a read, or once it is released. */
  private ByteBuf block;

  /** The line without its CRLF, and from where to where in it the deadline's number is. */
  MetaPayload(byte[] line, int deadlineStart, int deadlineEnd, MemoryBudget budget) {
    this.line = line;
    this.deadlineStart = deadlineStart;
    this.deadlineEnd = deadlineEnd;
    this.budget = budget;
  }

  /** Reserves memory for a value of this length; false if the budget has none left. */
  boolean reserveValue(ByteBufAllocator allocator, int length) {
    if (!budget.reserve(length + MetaLine.CRLF_BYTES)) {
      return false;
    }
    block = allocator.buffer(length + MetaLine.CRLF_BYTES, length + MetaLine.CRLF_BYTES);
    return true;
  }

  /** Copies the next {@code bytes} bytes of the value. */
  void appendValue(ByteBuf in, int bytes) {
    block.writeBytes(in, bytes);
  }

  /** The value is complete. */
  void endValue() {
    block.writeShort(MetaReplies.CRLF);
  }

  @Override
  public ByteBuf value() {
    return block == null ? null : block.slice(0, block.readableBytes() - MetaLine.CRLF_BYTES);
  }

  /**
   * The bytes for a cache server, which belong to the caller: the client's own, but with the
   * time-out of this node as the deadline.
   */
  ByteBuf encode(ByteBufAllocator allocator, long timeoutMillis) {
    byte[] deadline = Long.toString(Math.max(1, timeoutMillis)).getBytes(StandardCharsets.US_ASCII);
    ByteBuf head = allocator.buffer(line.length + deadline.length + MetaLine.CRLF_BYTES);
    head.writeBytes(line, 0, deadlineStart).writeBytes(deadline);
    head.writeBytes(line, deadlineEnd, line.length - deadlineEnd).writeShort(MetaReplies.CRLF);
    return block == null
        ? head
        : allocator.compositeBuffer(2).addComponents(true, head, block.retainedDuplicate());
  }

  @Override
  public void release() {
    if (block != null) {
      budget.release(block.capacity());
      block.release();
      block = null;
    }
  }
}
