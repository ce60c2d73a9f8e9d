package shalepaddle.overload;

/**
 * What a load balancer does without while a resource is short. Each answer belongs to one resource:
 * where bytes are short, bytes are freed and no request is shed for it; where the processor is
 * short, no connection is closed, since each would have to be opened again.
 *
 * @param maxPendingResponses answers that one client's connection may be owed before no more is
 *     read from it
 * @param maxIdleNanos how long a connection to a cache server is kept that is not in use, at most
 * @param shrinksBuffers whether buffers kept for reuse are given back
 * @param heavyReaderRatio the part of all requests above which a connection is read from by turns
 *     only, 1 for none
 */
public record DegradationPolicy(
    int maxPendingResponses, long maxIdleNanos, boolean shrinksBuffers, double heavyReaderRatio) {
  /** Nothing is short. */
  public static final DegradationPolicy CALM = new DegradationPolicy(64, Long.MAX_VALUE, false, 1);

  /** What these levels ask for. */
  public static DegradationPolicy of(
      PressureLevel processor, PressureLevel memory, PressureLevel descriptors) {
    int owed =
        switch (memory) {
          case CALM -> CALM.maxPendingResponses();
          case BUSY -> 16;
          case FULL -> 4;
        };
    PressureLevel idle = memory.compareTo(descriptors) >= 0 ? memory : descriptors;
    long idleNanos =
        switch (idle) {
          case CALM -> CALM.maxIdleNanos();
          case BUSY -> 5_000_000_000L;
          case FULL -> 1_000_000_000L;
        };
    return new DegradationPolicy(
        owed, idleNanos, memory != PressureLevel.CALM, processor == PressureLevel.CALM ? 1 : 0.1);
  }
}
