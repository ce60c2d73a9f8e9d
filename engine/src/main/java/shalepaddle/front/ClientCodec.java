package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Reply;

/** One protocol that clients speak, in which answers come in the order of the commands. */
public interface ClientCodec {
  /** Reads the commands of one new connection. */
  CommandDecoder decoder();

  /**
   * The bytes of the answer to the request of this id. A value in the reply is used up, also where
   * this throws.
   */
  ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply);

  /** The bytes behind the last piece of a value, of which {@link #encode} made the head alone. */
  ByteBuf encodeStreamEnd();

  /** The bytes of the answer to a request whose id belongs to another that is open. */
  ByteBuf encodeDuplicateId(ByteBufAllocator allocator);

  /** Reads {@link ClientCommand}s off a connection, however its bytes are cut. */
  abstract class CommandDecoder extends ByteToMessageDecoder {
    /** Whether a command has begun and not ended. */
    public abstract boolean isMidCommand();

    /** Whether the value of a command is being read, whose head is whole. */
    public abstract boolean isReadingValue();

    /** Whether nothing more is taken: what comes can no longer be told apart. */
    public abstract boolean isDesynchronized();
  }
}
