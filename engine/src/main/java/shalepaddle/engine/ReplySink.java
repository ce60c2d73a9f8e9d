package shalepaddle.engine;

/** Receives the one final answer to a request. */
@FunctionalInterface
public interface ReplySink {
  /**
   * Receives the answer, on the event loop's thread: exactly once for each request that was
   * accepted and not cancelled. The sink owns a value in it from now on, also if this throws; an
   * exception is logged and has no other effect.
   */
  void reply(Reply reply);

  /** Whether it accepts a large value as {@link Reply.Streamed}; if not, it gets it complete. */
  default boolean acceptsStream() {
    return false;
  }
}
