package shalepaddle.engine;

/**
 * The head of a cache server's reply whose value is too large to be buffered. The value follows as
 * a sequence of buffers, terminated by {@link #END}.
 *
 * @param head the reply without its value
 * @param valueBytes the length of the value in bytes
 */
public record LargeReply(ServerReply head, int valueBytes) {
  /** Marks the end of the value. */
  public static final Object END = new Object();
}
