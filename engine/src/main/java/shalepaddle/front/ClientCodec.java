package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.ByteToMessageDecoder;
import shalepaddle.engine.Reply;

/**
 * A client protocol in which responses are sent in the order of the commands. Used only on the
 * event loop; the caller owns the bytes that are returned.
 */
public interface ClientCodec {
  /** Creates a decoder for the commands on one connection. */
  CommandDecoder decoder();

  /**
   * Encodes the response to the request with this id; for a streamed value only the head. Takes
   * ownership of a value in the reply, even if this throws.
   */
  ByteBuf encode(ByteBufAllocator allocator, String id, Reply reply);

  /** Encodes the end of a streamed value, which follows its last chunk. */
  ByteBuf encodeStreamEnd();

  /** Encodes the response to a request whose id is in use by another open request. */
  ByteBuf encodeDuplicateId(ByteBufAllocator allocator);

  /** Decodes {@link ClientCommand}s from a byte stream. */
  abstract class CommandDecoder extends ByteToMessageDecoder {
    /** Whether a command was received in part. */
    public abstract boolean isMidCommand();

    /** Whether the line of a command is complete and its value is being read. */
    public abstract boolean isReadingValue();

    /** Whether all further bytes are dropped, since the start of the next command is not known. */
    public abstract boolean isDesynchronized();
  }
}
