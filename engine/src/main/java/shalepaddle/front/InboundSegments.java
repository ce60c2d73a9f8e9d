package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.util.ArrayDeque;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.MemoryBudget;

/**
 * The bytes that were read from one client's connection and not delivered yet, in segments that
 * arrived together, with the earliest deadline of the commands in them. Each byte is scanned for
 * deadlines once, when it is added.
 *
 * <p>Owned by its {@link InboundBuffer}, on the event loop; times are by the loop's clock.
 */
final class InboundSegments {
  /** Bytes that arrived less than this after the first byte of a segment are appended to it. */
  private static final long MERGE_WINDOW_NANOS = 5_000_000;

  /**
   * Maximum bytes of a segment that several reads add to. A buffer that is appended to while it is
   * taken from keeps the bytes that were taken.
   */
  private static final int MAX_MERGED_BYTES = 16 << 10;

  /** Bytes, and the earliest time at which any of them can have arrived. */
  private static final class Segment {
    private ByteBuf bytes;
    private final long arrivalNanos;
    private int earliestDeadlineMillis = Integer.MAX_VALUE;

    Segment(ByteBuf bytes, long arrivalNanos) {
      this.bytes = bytes;
      this.arrivalNanos = arrivalNanos;
    }

    void append(ByteBufAllocator allocator, ByteBuf addedBytes) {
      bytes = ByteToMessageDecoder.MERGE_CUMULATOR.cumulate(allocator, bytes, addedBytes);
    }

    void deadlineFound(int millis) {
      earliestDeadlineMillis = Math.min(earliestDeadlineMillis, millis);
    }

    boolean hasDeadline() {
      return earliestDeadlineMillis != Integer.MAX_VALUE;
    }

    long deadlineNanos() {
      return arrivalNanos + TimeUnit.MILLISECONDS.toNanos(earliestDeadlineMillis);
    }
  }

  private final MemoryBudget budget;
  private final ArrayDeque<Segment> segments = new ArrayDeque<>();
  private DeadlineScanner deadlineScanner = new DeadlineScanner();
  private int bufferedBytes;
  private int reservedBytes;

  /** Creates an empty instance; the memory budget is that of all connections. */
  InboundSegments(MemoryBudget budget) {
    this.budget = budget;
  }

  boolean isEmpty() {
    return segments.isEmpty();
  }

  int bufferedBytes() {
    return bufferedBytes;
  }

  /** Whether the memory budget does not cover all buffered bytes. */
  boolean exceedsBudget() {
    return reservedBytes < bufferedBytes;
  }

  /** Adds bytes and takes ownership of them. */
  void add(ByteBufAllocator allocator, ByteBuf bytes, long arrivalNanos) {
    int newBytes = bytes.readableBytes();
    if (budget.reserve(newBytes)) {
      reservedBytes += newBytes;
    }
    bufferedBytes += newBytes;
    Segment last = segments.peekLast();
    boolean isMerged =
        last != null
            && arrivalNanos - last.arrivalNanos < MERGE_WINDOW_NANOS
            && last.bytes.writerIndex() + newBytes <= MAX_MERGED_BYTES;
    Segment segment = isMerged ? last : new Segment(bytes, arrivalNanos);
    deadlineScanner.scan(bytes, segment::deadlineFound);
    if (isMerged) {
      segment.append(allocator, bytes);
    } else {
      segments.add(segment);
    }
  }

  /**
   * The earliest deadline of the commands in all segments, by the loop's clock. Commands of the
   * first segment count until all of it is taken.
   */
  OptionalLong earliestDeadlineNanos() {
    if (segments.isEmpty()) {
      return OptionalLong.empty();
    }
    // Times of a monotonic clock are compared by their differences.
    long originNanos = firstArrivalNanos();
    OptionalLong earliestFromOrigin =
        segments.stream()
            .filter(Segment::hasDeadline)
            .mapToLong(segment -> segment.deadlineNanos() - originNanos)
            .min();
    return earliestFromOrigin.isPresent()
        ? OptionalLong.of(originNanos + earliestFromOrigin.getAsLong())
        : earliestFromOrigin;
  }

  /** The earliest time at which the first bytes can have arrived. There must be some. */
  long firstArrivalNanos() {
    return segments.element().arrivalNanos;
  }

  /** Removes and returns the first bytes, which the caller owns. There must be some. */
  ByteBuf take(int maxBytes) {
    Segment first = segments.element();
    if (first.bytes.readableBytes() > maxBytes) {
      removed(maxBytes);
      return first.bytes.readRetainedSlice(maxBytes);
    }
    segments.remove();
    removed(first.bytes.readableBytes());
    return first.bytes;
  }

  private void removed(int bytes) {
    bufferedBytes -= bytes;
    int excessBytes = Math.max(0, reservedBytes - bufferedBytes);
    reservedBytes -= excessBytes;
    budget.release(excessBytes);
    if (segments.isEmpty()) {
      deadlineScanner = new DeadlineScanner();
    }
  }

  /** Releases all bytes. */
  void clear() {
    while (!segments.isEmpty()) {
      take(Integer.MAX_VALUE).release();
    }
  }
}
