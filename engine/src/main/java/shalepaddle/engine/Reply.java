package shalepaddle.engine;

import io.netty.buffer.ByteBuf;

/** The final answer to a request, independent of the protocol. */
public sealed interface Reply {
  /**
   * A read was served.
   *
   * @param value the value that a cache server returned; released by the receiver of the reply
   */
  record Value(ByteBuf value) implements Reply {}

  /**
   * A read is being served with a large value, whose head has been received. Given only to a sink
   * that {@linkplain ReplySink#acceptsStream accepts streams}.
   *
   * @param valueBytes the length of the value in bytes
   * @param source passes the value on as it arrives; the receiver of the reply starts or cancels it
   */
  record Streamed(int valueBytes, ValueSource source) implements Reply {}

  /**
   * A write was carried out.
   *
   * @param receipt the token by which a cache server confirmed the write
   */
  record Receipt(String receipt) implements Reply {}

  /**
   * The request was rejected and has not run: a retry is safe.
   *
   * @param retryAfterMillis how long to wait before a retry, 0 for no advice
   */
  record Rejected(long retryAfterMillis) implements Reply {}

  /**
   * The request failed.
   *
   * @param mayHaveRun whether a server may have executed the request, or may still do so
   */
  record Failed(boolean mayHaveRun) implements Reply {}
}
