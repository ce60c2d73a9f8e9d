package shalepaddle.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Call;
import shalepaddle.engine.ServerReply;

/** One protocol that cache servers speak, in which replies come in the order of the requests. */
public interface ServerCodec {
  /**
   * The bytes of an attempt that is waited for so many milliseconds. The call keeps its payload:
   * the bytes hold what they need of it themselves. What came in this same protocol goes on as it
   * came.
   */
  ByteBuf encode(ByteBufAllocator allocator, Call call, long millis);

  /** Reads the replies of one new connection. */
  ReplyDecoder decoder();

  /**
   * Reads {@link ServerReply}s off a connection, each whole and well formed. Throws a {@link
   * io.netty.handler.codec.DecoderException} whose cause says what is wrong, once, for bytes that
   * cannot be trusted, and reads nothing after them.
   */
  abstract class ReplyDecoder extends ByteToMessageDecoder {
    /** Whether a reply has begun and not ended. */
    public abstract boolean isMidReply();
  }
}
