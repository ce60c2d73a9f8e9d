package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Call;
import shalepaddle.engine.ServerReply;

/** A protocol that cache servers speak, in which replies come in the order of the requests. */
public interface ServerCodec {
  /**
   * Encodes an attempt. The call keeps its payload: what the bytes need of it they retain
   * themselves. The caller owns the bytes. A request that came in this same protocol goes on as it
   * came, but for its time-out.
   *
   * @param timeoutMillis how long this node waits for the reply
   */
  ByteBuf encode(ByteBufAllocator allocator, Call call, long timeoutMillis);

  /** A decoder of the replies on one new connection. */
  ReplyDecoder decoder();

  /**
   * Decodes complete and well-formed {@link ServerReply}s, and large values as {@link
   * shalepaddle.engine.LargeReply}. The next handler owns the buffers in them. Throws a {@link
   * io.netty.handler.codec.DecoderException} whose cause tells the fault, once, for bytes that
   * can't be trusted, and drops all that follows.
   */
  abstract class ReplyDecoder extends ByteToMessageDecoder {
    /** Whether a reply has begun and not ended. */
    public abstract boolean isMidReply();
  }
}
