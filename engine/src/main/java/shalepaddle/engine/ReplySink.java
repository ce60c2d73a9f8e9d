package shalepaddle.engine;

/** Where the one final answer of a request goes. */
@FunctionalInterface
public interface ReplySink {
  /**
   * Takes the answer, on the engine's thread: exactly once for each request that was taken and not
   * cancelled. A value in it belongs to the sink from here on, also if this throws; an exception is
   * logged and changes nothing else.
   */
  void reply(Reply reply);

  /**
   * Whether it takes large values in pieces, {@link Reply.Streamed}; if not, it gets them whole.
   */
  default boolean acceptsStream() {
    return false;
  }
}
