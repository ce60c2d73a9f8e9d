package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Call;
import shalepaddle.engine.ServerReply;

/** A protocol of cache servers, in which replies are sent in the order of the requests. */
public interface ServerCodec {
  /** A decoded reply to a request that has no effect. */
  Object NO_OP_REPLY = new Object();

  /**
   * Encodes an attempt. The call still owns its payload; the encoded bytes retain the buffers that
   * they share with it. The caller owns the returned bytes. A request that was received in the same
   * protocol is forwarded unchanged, except for its time-out.
   *
   * @param timeoutMillis how long this node waits for the reply
   */
  ByteBuf encode(ByteBufAllocator allocator, Call call, long timeoutMillis);

  /**
   * Encodes requests that have no effect. The decoder decodes the reply to each as {@link
   * #NO_OP_REPLY}. The caller owns the returned bytes.
   */
  ByteBuf encodeNoOps(ByteBufAllocator allocator, int count);

  /** Creates a decoder for the replies on one connection. */
  ReplyDecoder decoder();

  /**
   * Decodes complete and well-formed {@link ServerReply}s, and large values as {@link
   * shalepaddle.engine.LargeReply}, and replies to no-ops as {@link #NO_OP_REPLY}. The next handler
   * owns the buffers in them. If the bytes are malformed, throws a {@link
   * io.netty.handler.codec.DecoderException} once, whose cause describes the fault, and drops all
   * further bytes.
   */
  abstract class ReplyDecoder extends ByteToMessageDecoder {
    /** Whether a reply was received in part. */
    public abstract boolean isMidReply();
  }
}
