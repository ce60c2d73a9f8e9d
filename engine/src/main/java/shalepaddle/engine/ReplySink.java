package shalepaddle.engine;

/** Receives the final answer to a request. */
@FunctionalInterface
public interface ReplySink {
  /**
   * Receives the answer on the event loop's thread, exactly once for each request that was accepted
   * and not cancelled. The sink owns the value in the reply, even if this method throws; an
   * exception is logged and has no other effect.
   */
  void reply(Reply reply);

  /**
   * What is known of the client that waits for the answer. May give up on clients of a shared
   * answer.
   *
   * @param now the present time, by the loop's clock
   */
  default ClientPresence clientPresence(long now) {
    return ClientPresence.CONNECTED;
  }

  /**
   * Whether there is memory for a value of this size, which then is given next. Otherwise the
   * request is answered without it.
   */
  default boolean acceptsValue(int valueBytes) {
    return true;
  }

  /** Whether a large value may be given as {@link Reply.Streamed} before it is complete. */
  default boolean acceptsStream() {
    return false;
  }
}
