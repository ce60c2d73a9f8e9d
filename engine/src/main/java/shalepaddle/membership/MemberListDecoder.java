package shalepaddle.membership;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.util.function.LongSupplier;

/**
 * Splits a stream into JSON objects, independent of line breaks, and records since when an object
 * is incomplete. Used on the event loop only.
 */
final class MemberListDecoder extends JsonObjectDecoder {
  /** The maximum length of a list, sufficient for thousands of servers. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private final LongSupplier receivedAtNanos;
  private long listStartedAtNanos;
  private boolean isInsideList;

  /**
   * Creates the decoder of one stream.
   *
   * @param receivedAtNanos returns when the data being decoded was received, by the event loop's
   *     clock
   */
  MemberListDecoder(LongSupplier receivedAtNanos) {
    super(MAX_LIST_BYTES);
    this.receivedAtNanos = receivedAtNanos;
  }

  /** Whether a list has been received partially. */
  boolean isInsideList() {
    return isInsideList;
  }

  /** When the incomplete list started, in nanoseconds of the event loop's time. */
  long listStartedAt() {
    return listStartedAtNanos;
  }

  /** Records that a list is complete; any remaining data starts the next one. */
  void markListComplete() {
    isInsideList = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    super.channelRead(ctx, message);
    boolean hasMore = actualReadableBytes() > 0;
    if (hasMore && !isInsideList) {
      listStartedAtNanos = receivedAtNanos.getAsLong();
    }
    isInsideList = hasMore;
  }
}
