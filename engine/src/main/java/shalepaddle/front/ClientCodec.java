package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Reply;

/**
 * A protocol that clients speak, in which responses come in the order of the commands. Used on the
 * event loop alone; the caller owns the bytes that are returned.
 */
public interface ClientCodec {
  /** A decoder of the commands on one new connection. */
  CommandDecoder decoder();

  /**
   * The bytes of the response to the request with this id; of a streamed value the head alone. A
   * value in the reply belongs to this, also where this throws.
   */
  ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply);

  /** The bytes behind the last chunk of a streamed value. */
  ByteBuf encodeStreamEnd();

  /** The bytes of the response to a request whose id belongs to another that is open. */
  ByteBuf encodeDuplicateId(ByteBufAllocator allocator);

  /** Decodes {@link ClientCommand}s, however their bytes are cut. */
  abstract class CommandDecoder extends ByteToMessageDecoder {
    /** Whether a command has begun and not ended. */
    public abstract boolean isMidCommand();

    /** Whether the value of a command is being read, whose line is complete. */
    public abstract boolean isReadingValue();

    /** Whether nothing more is taken: it is not known where the next command begins. */
    public abstract boolean isDesynchronized();
  }
}
