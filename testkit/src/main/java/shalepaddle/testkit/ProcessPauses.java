package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** The times in which a load balancer did not run, in nanoseconds of the wire. */
final class ProcessPauses {
  private record Pause(long from, long to) {}

  private final List<Pause> pauses = new ArrayList<>();

  /** It does not run for so long from this time on; to be told in the order of time. */
  void add(long from, long millis) {
    Pause next = new Pause(from, from + TimeUnit.MILLISECONDS.toNanos(millis));
    int last = pauses.size() - 1;
    if (last >= 0 && pauses.get(last).to() >= from) {
      // One that begins within another is one with it.
      Pause before = pauses.remove(last);
      next = new Pause(before.from(), Math.max(before.to(), next.to()));
    }
    pauses.add(next);
  }

  /** How long it did not run between two times. */
  long within(long begin, long end) {
    long sum = 0;
    for (Pause pause : pauses) {
      sum += Math.max(0, Math.min(pause.to(), end) - Math.max(pause.from(), begin));
    }
    return sum;
  }

  /** The first time from this one on at which it ran. */
  long runs(long at) {
    for (Pause pause : pauses) {
      if (pause.from() <= at && at < pause.to()) {
        return pause.to();
      }
    }
    return at;
  }
}
