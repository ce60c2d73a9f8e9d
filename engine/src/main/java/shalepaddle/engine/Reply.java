package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** The one final answer to a request, independent of any protocol. */
public sealed interface Reply {
  /**
   * A read was served.
   *
   * @param value as a cache server gave it for this request; released by whoever receives the reply
   */
  record Value(ByteBuf value) implements Reply {}

  /**
   * A read is being served with a large value, whose head has come. Given only to a sink that
   * {@linkplain ReplySink#acceptsStream accepts streams}.
   *
   * @param length the value's bytes
   * @param source gives them as they come; whoever receives the reply starts or cancels it
   */
  record Streamed(int length, ValueSource source) implements Reply {}

  /**
   * A write was carried out.
   *
   * @param receipt as a cache server gave it for this request
   */
  record Receipt(String receipt) implements Reply {}

  /**
   * The request was rejected and has not run: a retry is safe.
   *
   * @param retryAfterMillis the earliest time of a retry, 0 for no advice
   */
  record Rejected(long retryAfterMillis) implements Reply {}

  /**
   * The request failed.
   *
   * @param mayHaveRun whether it may have run all the same, or may yet
   */
  record Failed(boolean mayHaveRun) implements Reply {}
}
