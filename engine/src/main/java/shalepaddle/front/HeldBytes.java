package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.util.ArrayDeque;

/**
 * The received and unsent bytes of one large value, in blocks of the same size. Bytes are copied:
 * the buffers that they were read into can be far larger. Owned by its {@link LargeValueResponse}.
 */
final class HeldBytes {
  private static final int BLOCK_BYTES = 64 << 10;

  private final ByteBufAllocator allocator;
  private final ArrayDeque<ByteBuf> blocks = new ArrayDeque<>();

  /** The bytes of the value that were not added yet. */
  private int missingBytes;

  HeldBytes(ByteBufAllocator allocator, int valueBytes) {
    this.allocator = allocator;
    this.missingBytes = valueBytes;
  }

  boolean isEmpty() {
    return blocks.isEmpty();
  }

  /** Adds bytes of the value and takes ownership of them. */
  void add(ByteBuf bytes) {
    try {
      while (bytes.isReadable()) {
        ByteBuf block = blockWithSpace();
        int copiedBytes = Math.min(bytes.readableBytes(), block.writableBytes());
        block.writeBytes(bytes, copiedBytes);
        missingBytes -= copiedBytes;
      }
    } finally {
      bytes.release();
    }
  }

  private ByteBuf blockWithSpace() {
    ByteBuf last = blocks.peekLast();
    if (last == null || !last.isWritable()) {
      int blockBytes = Math.min(BLOCK_BYTES, missingBytes);
      last = allocator.buffer(blockBytes, blockBytes);
      blocks.add(last);
    }
    return last;
  }

  /** Records bytes of the value that are passed on without being held. */
  void passedOn(int bytes) {
    missingBytes -= bytes;
  }

  /** Removes and returns the first block, which the caller owns; null if there is none. */
  ByteBuf poll() {
    return blocks.poll();
  }

  /** Releases all bytes. */
  void clear() {
    blocks.forEach(ByteBuf::release);
    blocks.clear();
  }
}
