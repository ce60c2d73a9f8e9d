package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import shalepaddle.engine.Payload;
import shalepaddle.model.Request;

/**
 * A command as it was read from a client's connection. Its receiver owns its buffers.
 *
 * @param answer the bytes to answer at once, null for a request that goes to a cache server
 * @param isProtocolError whether that answer says that the client broke the protocol
 * @param isDesynchronized whether it is not known where the next command begins, so that the
 *     connection must be closed
 * @param rejections the requests that this is the answer to, of which no more was read than it
 *     takes to reject them; {@link Rejections#NONE} where it is no such answer
 * @param request what it asks for, null where it is answered at once
 * @param payload what is forwarded, null where it is answered at once
 */
public record ClientCommand(
    ByteBuf answer,
    boolean isProtocolError,
    boolean isDesynchronized,
    Rejections rejections,
    Request request,
    Payload payload) {

  /**
   * Consecutive requests that were rejected.
   *
   * @param count how many
   * @param retries how many of them were retries, as far as is known
   * @param retryAfterMillis the Retry-After of the last of them, 0 for none
   */
  public record Rejections(int count, int retries, long retryAfterMillis) {
    /** No request was rejected. */
    public static final Rejections NONE = new Rejections(0, 0, 0);
  }

  /** A request for the engine. */
  public static ClientCommand of(Request request, Payload payload) {
    return new ClientCommand(null, false, false, Rejections.NONE, request, payload);
  }

  /** A command that is answered at once. */
  public static ClientCommand answer(
      ByteBuf answer, boolean isProtocolError, boolean isDesynchronized) {
    return new ClientCommand(
        answer, isProtocolError, isDesynchronized, Rejections.NONE, null, null);
  }

  /** Consecutive requests with the answers that reject them. */
  public static ClientCommand rejected(ByteBuf answers, Rejections rejections) {
    return new ClientCommand(answers, false, false, rejections, null, null);
  }

  /** Releases the buffers. */
  public void release() {
    if (answer != null) {
      answer.release();
    }
    if (payload != null) {
      payload.release();
    }
  }
}
