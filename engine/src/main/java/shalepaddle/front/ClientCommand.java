package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import shalepaddle.engine.Payload;
import shalepaddle.model.Request;

/**
 * A command that was read from a client's connection. The receiver owns its buffers.
 *
 * @param answer the answer to send immediately, null for a request to the engine
 * @param isProtocolError whether the answer reports a protocol error of the client
 * @param isDesynchronized whether the start of the next command is not known, so that the
 *     connection must be closed
 * @param rejections the requests that the answer rejects, which were parsed only as far as needed
 *     to reject them; {@link Rejections#NONE} for other commands
 * @param request the request, null if the command is answered immediately
 * @param payload the content to forward, null if the command is answered immediately
 */
public record ClientCommand(
    ByteBuf answer,
    boolean isProtocolError,
    boolean isDesynchronized,
    Rejections rejections,
    Request request,
    Payload payload) {

  /**
   * Consecutive requests that were rejected before parsing.
   *
   * @param count the number of requests
   * @param retries the number of requests that were known to be retries
   * @param retryAfterMillis the Retry-After of the last request, 0 for none
   */
  public record Rejections(int count, int retries, long retryAfterMillis) {
    /** No request was rejected. */
    public static final Rejections NONE = new Rejections(0, 0, 0);
  }

  /** Creates a command for a request to the engine. */
  public static ClientCommand of(Request request, Payload payload) {
    return new ClientCommand(null, false, false, Rejections.NONE, request, payload);
  }

  /** Creates a command that is answered immediately. */
  public static ClientCommand answer(
      ByteBuf answer, boolean isProtocolError, boolean isDesynchronized) {
    return new ClientCommand(
        answer, isProtocolError, isDesynchronized, Rejections.NONE, null, null);
  }

  /** Creates a command for consecutive rejected requests and their answers. */
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
