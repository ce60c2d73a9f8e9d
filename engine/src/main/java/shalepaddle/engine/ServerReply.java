package shalepaddle.engine;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Outcome;

/**
 * A cache server's response to an attempt, independent of any protocol.
 *
 * @param result the outcome of the attempt
 * @param id the request id in the reply, null if it has none
 * @param receipt the token that confirms a write, null for other replies
 * @param value the value of a read, null for other replies; released by the connection it was read
 *     from
 * @param cacheStatus the cache status in the reply: hit, miss or none
 * @param load the server's load report, null if the reply has none
 */
public record ServerReply(
    Outcome.Result result,
    String id,
    String receipt,
    ByteBuf value,
    Outcome.CacheStatus cacheStatus,
    LoadReport load) {
  /** Stands for a value that was received and dropped, since there was no memory for it. */
  public static final ByteBuf DISCARDED_VALUE = Unpooled.unreleasableBuffer(Unpooled.buffer(0, 0));

  /** Whether the value was dropped, so that the reply cannot be passed on. */
  @SuppressWarnings("ReferenceEquality") // An empty value of a server is equal to it.
  boolean isValueDiscarded() {
    return value == DISCARDED_VALUE;
  }
}
