package shalepaddle.testkit;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * The periods in which a load balancer's process was paused. Times are nanoseconds of {@link
 * LoopbackTransport#nowNanos}.
 */
final class ProcessPauses {
  private record Pause(long startNanos, long endNanos) {}

  private final List<Pause> pauses = new ArrayList<>();

  /** Adds a pause. Pauses must be added in the order of their start times. */
  void add(long startNanos, long durationMillis) {
    Pause newPause =
        new Pause(startNanos, startNanos + TimeUnit.MILLISECONDS.toNanos(durationMillis));
    int lastIndex = pauses.size() - 1;
    if (lastIndex >= 0 && pauses.get(lastIndex).endNanos() >= startNanos) {
      // Overlapping pauses are merged.
      Pause previousPause = pauses.remove(lastIndex);
      newPause =
          new Pause(
              previousPause.startNanos(), Math.max(previousPause.endNanos(), newPause.endNanos()));
    }
    pauses.add(newPause);
  }

  /** How long the process was paused between two times, in nanoseconds. */
  long pausedNanos(long beginNanos, long endNanos) {
    long pausedNanos = 0;
    for (Pause pause : pauses) {
      pausedNanos +=
          Math.max(
              0, Math.min(pause.endNanos(), endNanos) - Math.max(pause.startNanos(), beginNanos));
    }
    return pausedNanos;
  }

  /** Returns the end of the pause that this time falls into; without one, the time itself. */
  long resumeNanos(long timeNanos) {
    for (Pause pause : pauses) {
      if (pause.startNanos() <= timeNanos && timeNanos < pause.endNanos()) {
        return pause.endNanos();
      }
    }
    return timeNanos;
  }
}
