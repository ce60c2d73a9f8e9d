package shalepaddle.daemon;

import java.util.ArrayList;
import java.util.List;

/** The times in which a process was held up by SIGSTOP. */
final class Holds {
  /** A time from SIGSTOP to SIGCONT; {@code endNanos} is the largest number if none was sent. */
  private record Hold(long beginNanos, long endNanos) {}

  private final List<Hold> holds = new ArrayList<>();

  /** Records a signal; others than SIGSTOP and SIGCONT are ignored. */
  void signalSent(String name, long nowNanos) {
    if (name.equals("STOP")) {
      holds.add(new Hold(nowNanos, Long.MAX_VALUE));
    } else if (name.equals("CONT")) {
      Hold last = holds.remove(holds.size() - 1);
      holds.add(new Hold(last.beginNanos(), nowNanos));
    }
  }

  /** For how many nanoseconds of a time the process was held up. */
  long heldNanos(long fromNanos, long toNanos) {
    long held = 0;
    for (Hold hold : holds) {
      held +=
          Math.max(0, Math.min(hold.endNanos(), toNanos) - Math.max(hold.beginNanos(), fromNanos));
    }
    return held;
  }
}
