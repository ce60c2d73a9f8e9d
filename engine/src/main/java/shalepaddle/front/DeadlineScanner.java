package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import java.util.function.IntConsumer;

/**
 * Finds the deadlines of commands, in milliseconds, in a stream of undecoded bytes: a number after
 * {@code d=} at the start of a property. Also reports bytes within a value that look like a
 * deadline. Owned by its connection, on the event loop.
 */
final class DeadlineScanner {
  /** Larger deadlines are reported as this value; the decoder rejects such deadlines. */
  private static final int MAX_DEADLINE_MILLIS = 1_000_000;

  private enum State {
    NONE,
    PROPERTY,
    NAME,
    NUMBER
  }

  private State state = State.NONE;
  private int deadlineMillis;

  /**
   * Scans the readable bytes without changing the reader index, and passes each deadline to the
   * consumer, in milliseconds.
   */
  void scan(ByteBuf bytes, IntConsumer onDeadlineMillis) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
      scanByte(bytes.getByte(i), onDeadlineMillis);
    }
  }

  private void scanByte(byte b, IntConsumer onDeadlineMillis) {
    switch (state) {
      case NUMBER -> {
        if (b >= '0' && b <= '9') {
          deadlineMillis = Math.min(MAX_DEADLINE_MILLIS, deadlineMillis * 10 + b - '0');
          return;
        }
        onDeadlineMillis.accept(deadlineMillis);
        state = stateAfter(b);
      }
      case NAME -> {
        state = b == '=' ? State.NUMBER : stateAfter(b);
        deadlineMillis = 0;
      }
      case PROPERTY -> state = b == 'd' ? State.NAME : stateAfter(b);
      default -> state = stateAfter(b);
    }
  }

  private static State stateAfter(byte b) {
    return b == ',' || b == 'P' ? State.PROPERTY : State.NONE;
  }
}
