package shalepaddle.overload;

/**
 * One client's connection, as far as it comes again for what it was just refused, before the time
 * that it was told to stay away.
 *
 * <p>The idea: a refusal that is answered at once brings the next try at once, and takes the time
 * in which something could be served; so refusals can keep up what they came from. An answer is
 * never held back for that. But what a connection sends next may be read later: it waits in the
 * client's own socket, costs nothing there, and meets a loop that has had time to serve. The client
 * that heeds the advice, or asks for something else, is read from as ever.
 *
 * <p>Guards against a storm that feeds itself. Harms a connection that many callers share, where
 * two of them want the same key within the advice and both are refused: it then waits for {@value
 * #MOST_NANOS} ns at most, as it does for a client that sends the most.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: it belongs to one connection.
 */
public final class Insistence {
  /** Nothing is read for so long at most, whatever was advised. */
  public static final long MOST_NANOS = 100_000_000L;

  private boolean advised;
  private long subject;
  private long until;

  /**
   * A request of the connection is refused.
   *
   * @param subject a hash of what it asked for
   * @param adviceNanos for how long its client is told to stay away, 0 for no advice
   * @return for how long to read nothing from the connection, 0 to go on
   */
  public long refused(long subject, long adviceNanos, long now) {
    long early = advised && subject == this.subject ? until - now : 0;
    advised = adviceNanos > 0;
    this.subject = subject;
    until = now + adviceNanos;
    return Math.max(0, Math.min(MOST_NANOS, early));
  }
}
