package shalepaddle.front;

import io.netty.buffer.ByteBuf;
import shalepaddle.engine.Payload;
import shalepaddle.model.Request;

/**
 * A command as it was read off a client's connection; whoever takes it owns what it holds.
 *
 * @param answer the bytes to answer at once, null for a request that goes to a cache server
 * @param error whether that answer says that the client broke the protocol
 * @param lost whether the client's bytes can no longer be told apart, so that its connection must
 *     close
 * @param refused how many requests these are the answers to, of which no more was read than it
 *     takes to refuse them; 0 where it is no such answer
 * @param request what it asks for, null where it is answered at once
 * @param payload what is passed on, null where it is answered at once
 */
public record ClientCommand(
    ByteBuf answer, boolean error, boolean lost, int refused, Request request, Payload payload) {

  /** A request for the engine. */
  public static ClientCommand of(Request request, Payload payload) {
    return new ClientCommand(null, false, false, 0, request, payload);
  }

  /** Requests in a row, so many of them, that are refused in these words. */
  public static ClientCommand refused(ByteBuf answers, int count) {
    return new ClientCommand(answers, false, false, count, null, null);
  }

  /** Lets go what it holds. */
  public void release() {
    if (answer != null) {
      answer.release();
    }
    if (payload != null) {
      payload.release();
    }
  }
}
