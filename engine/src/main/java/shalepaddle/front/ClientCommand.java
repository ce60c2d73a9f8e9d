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
 * @param rejections the requests that this is the answer to, of which no more was read than it
 *     takes to refuse them; {@link Rejections#NONE} where it is no such answer
 * @param request what it asks for, null where it is answered at once
 * @param payload what is passed on, null where it is answered at once
 */
public record ClientCommand(
    ByteBuf answer,
    boolean error,
    boolean lost,
    Rejections rejections,
    Request request,
    Payload payload) {

  /**
   * Requests in a row that were refused.
   *
   * @param count how many
   * @param repeats how many of them had been tried before, as far as is known
   * @param adviceMillis for how long the client of the last of them was told to stay away, 0 for no
   *     advice
   */
  public record Rejections(int count, int repeats, long adviceMillis) {
    /** No request was refused. */
    public static final Rejections NONE = new Rejections(0, 0, 0);
  }

  /** A request for the engine. */
  public static ClientCommand of(Request request, Payload payload) {
    return new ClientCommand(null, false, false, Rejections.NONE, request, payload);
  }

  /** What is answered at once, in these words. */
  public static ClientCommand answer(ByteBuf answer, boolean error, boolean lost) {
    return new ClientCommand(answer, error, lost, Rejections.NONE, null, null);
  }

  /** Requests in a row that are refused in these words. */
  public static ClientCommand rejected(ByteBuf answers, Rejections rejections) {
    return new ClientCommand(answers, false, false, rejections, null, null);
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
