package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** The one final answer of a request, in no protocol's words. */
public sealed interface Reply {
  /**
   * A read was served.
   *
   * @param value as a cache server gave it for this request; whoever takes the reply releases it
   */
  record Value(ByteBuf value) implements Reply {}

  /**
   * A read is being served with a large value, of which the first bytes have come. Given only to a
   * sink that {@linkplain ReplySink#acceptsStream takes pieces}.
   *
   * @param length the value's bytes
   * @param source gives them as they come; whoever takes the reply begins or drops it
   */
  record Streamed(int length, ValueSource source) implements Reply {}

  /**
   * A write was carried out.
   *
   * @param receipt as a cache server gave it for this request
   */
  record Receipt(String receipt) implements Reply {}

  /**
   * The request was turned away: trying again does no harm.
   *
   * @param retryAfterMillis when to come again, 0 where no advice is given
   */
  record Rejected(long retryAfterMillis) implements Reply {}

  /**
   * The request failed.
   *
   * @param mayHaveRun whether it may have been carried out all the same, or may yet be
   */
  record Failed(boolean mayHaveRun) implements Reply {}
}
