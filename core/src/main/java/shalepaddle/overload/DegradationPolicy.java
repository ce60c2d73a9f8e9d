package shalepaddle.overload;

/**
 * What is reduced while a resource is short. Each measure belongs to one resource: a shortage of
 * memory frees buffers and sheds no request; a shortage of processor time closes no connection, as
 * each would have to be opened again. Immutable.
 *
 * @param maxPendingResponses responses pending on one client connection before reading from it is
 *     suspended
 * @param maxIdleNanos after which an idle connection to a cache server is closed
 * @param shrinksBuffers whether pooled buffers are released
 * @param heavyReaderRatio the part of all requests above which a connection is read from only in
 *     turns, 1 for never
 */
public record DegradationPolicy(
    int maxPendingResponses, long maxIdleNanos, boolean shrinksBuffers, double heavyReaderRatio) {
  /** No resource is short. */
  public static final DegradationPolicy CALM = new DegradationPolicy(64, Long.MAX_VALUE, false, 1);

  /** The policy for these levels. */
  public static DegradationPolicy of(
      PressureLevel processor, PressureLevel memory, PressureLevel descriptors) {
    int maxPendingResponses =
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
        maxPendingResponses,
        idleNanos,
        memory != PressureLevel.CALM,
        processor == PressureLevel.CALM ? 1 : 0.1);
  }
}
