package shalepaddle.engine;

/**
 * The head of a cache server's reply whose value is too large to be buffered. The value follows in
 * chunks, as buffers, and then {@link #END}.
 *
 * @param head the reply, without its value
 * @param length the value's bytes
 */
public record LargeReply(ServerReply head, int length) {
  /** The value is complete. */
  public static final Object END = new Object();
}
