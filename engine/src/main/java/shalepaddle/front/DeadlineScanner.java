package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import java.util.function.IntConsumer;

/**
 * Finds the deadlines, in milliseconds, that commands name in bytes which have not been decoded,
 * however the bytes are cut: a number after {@code d=} at the beginning of a property. Reports also
 * what looks like one within a value. Owned by its connection, on the event loop.
 */
final class DeadlineScanner {
  /** Larger numbers count as this; the decoder rejects such deadlines. */
  private static final int MAX_DEADLINE_MILLIS = 1_000_000;

  private enum State {
    NONE,
    PROPERTY,
    NAME,
    NUMBER
  }

  private State state = State.NONE;
  private int number;

  /** Looks through the readable bytes, whose reader index stays, and reports each deadline. */
  void scan(ByteBuf bytes, IntConsumer found) {
    for (int i = bytes.readerIndex(); i < bytes.writerIndex(); i++) {
      next(bytes.getByte(i), found);
    }
  }

  private void next(byte b, IntConsumer found) {
    switch (state) {
      case NUMBER -> {
        if (b >= '0' && b <= '9') {
          number = Math.min(MAX_DEADLINE_MILLIS, number * 10 + b - '0');
          return;
        }
        found.accept(number);
        state = begin(b);
      }
      case NAME -> {
        state = b == '=' ? State.NUMBER : begin(b);
        number = 0;
      }
      case PROPERTY -> state = b == 'd' ? State.NAME : begin(b);
      default -> state = begin(b);
    }
  }

  private static State begin(byte b) {
    return b == ',' || b == 'P' ? State.PROPERTY : State.NONE;
  }
}
