package shalepaddle.overload;

/**
 * One client's connection, as far as what was refused on it comes again before the time that the
 * refusal named.
 *
 * <p>The idea: a refusal that is answered at once brings the next try at once, and takes the time
 * in which something could be served; so refusals can keep up what they came from. An answer is
 * never held back for that. But what the connection sends next may be read later: it waits in the
 * client's own socket, costs nothing there, and meets a loop that has had time to serve. Whether a
 * connection insists is told by its repeats alone, in turns of {@value #INTERVAL_NANOS} ns: whoever
 * heeds the advice repeats what was refused in earlier turns, and whose time has come; repeats past
 * those, and past {@value #FEW}, came too soon. Such a connection is read from again in the next
 * turn, and in that as far as its first repeat that is refused.
 *
 * <p>Guards against a storm that feeds itself: what refusals cost is bounded by the number of
 * connections, however many requests come on them. Harms a connection that many callers share, of
 * whom some insist: all of them wait, for a turn at most.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: it belongs to one connection.
 */
public final class RetryStormDetector {
  /** Nothing is read for so long at most. */
  public static final long INTERVAL_NANOS = 100_000_000L;

  /** Repeats in a turn that are never too many: advice may be as short as half a turn. */
  private static final int FEW = 2;

  /** Refused requests that may still come again, as many as a connection may be owed answers. */
  private static final int MOST_DUE = 64;

  /** Turns over which advice is told apart; longer advice counts as that. */
  private static final int TURNS = 16;

  /** Refused requests that may come again from a turn on, by the turn; null before the first. */
  private byte[] later;

  private long turn;
  private int due;
  private int early;
  private boolean insists;
  private boolean insisted;

  /**
   * A request of the connection is refused.
   *
   * @param repeat whether its client has tried before
   * @param adviceNanos for how long its client is told to stay away, 0 for no advice
   * @return for how long to read nothing from the connection, 0 to go on
   */
  public long recordRejection(boolean repeat, long adviceNanos, long now) {
    long current = Math.floorDiv(now, INTERVAL_NANOS);
    if (later == null) {
      later = new byte[TURNS];
      turn = current;
    }
    if (current != turn) {
      for (int i = 1; i <= Math.min(TURNS, current - turn); i++) {
        int place = place(turn + i);
        due = Math.min(MOST_DUE, due + later[place]);
        later[place] = 0;
      }
      insisted = insists && current == turn + 1;
      insists = false;
      early = 0;
      turn = current;
    }
    if (repeat && due > 0) {
      due--;
    } else if (repeat) {
      // It comes now, and so will not come when it was told to.
      forgetOne(current);
      insists |= ++early > (insisted ? 0 : FEW);
    }
    int from = place(current + Math.max(1, Math.min(TURNS - 1, adviceNanos / INTERVAL_NANOS)));
    later[from] = (byte) Math.min(MOST_DUE, later[from] + 1);
    return insists ? INTERVAL_NANOS : 0;
  }

  private void forgetOne(long current) {
    for (int i = 1; i < TURNS; i++) {
      if (later[place(current + i)] > 0) {
        later[place(current + i)]--;
        return;
      }
    }
  }

  private static int place(long turn) {
    return (int) Math.floorMod(turn, (long) TURNS);
  }
}
