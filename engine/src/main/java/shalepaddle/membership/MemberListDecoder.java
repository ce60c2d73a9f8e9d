package shalepaddle.membership;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.json.JsonObjectDecoder;
import java.util.function.LongSupplier;

/**
 * Splits a stream into JSON objects, however they are laid out in lines, and knows since when one
 * is incomplete. On the event loop alone.
 */
final class MemberListDecoder extends JsonObjectDecoder {
  /** The longest list, for thousands of servers. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private final LongSupplier receivedAt;
  private long listBegunAt;
  private boolean insideList;

  /**
   * For one stream.
   *
   * @param receivedAt the event loop's time, in nanoseconds, at which the present data came
   */
  MemberListDecoder(LongSupplier receivedAt) {
    super(MAX_LIST_BYTES);
    this.receivedAt = receivedAt;
  }

  /** Whether a list has begun and is not complete. */
  boolean isInsideList() {
    return insideList;
  }

  /** When the incomplete list began, in nanoseconds of the event loop's time. */
  long listBegunAt() {
    return listBegunAt;
  }

  /** A list was read: what follows in the same data begins another. */
  void listComplete() {
    insideList = false;
  }

  @Override
  public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
    super.channelRead(ctx, message);
    boolean hasMore = actualReadableBytes() > 0;
    if (hasMore && !insideList) {
      listBegunAt = receivedAt.getAsLong();
    }
    insideList = hasMore;
  }
}
