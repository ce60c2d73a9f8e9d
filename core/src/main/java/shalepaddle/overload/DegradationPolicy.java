package shalepaddle.overload;

/**
 * The measures taken while resources are short. Each measure belongs to certain resources: a
 * shortage of memory releases buffers but sheds no requests, and a shortage of processor time
 * closes no connections, since opening them again would cost more. Immutable.
 *
 * @param maxPendingResponses responses pending on one client connection before reading from it is
 *     suspended
 * @param maxIdleNanos time after which an idle connection to a cache server is closed
 * @param shrinksBuffers whether pooled buffers are released
 * @param heavyReaderRatio fraction of all requests above which a connection that sends them is read
 *     from only in turns, 1 for never
 */
public record DegradationPolicy(
    int maxPendingResponses, long maxIdleNanos, boolean shrinksBuffers, double heavyReaderRatio) {
  /** The policy while no resource is short. */
  public static final DegradationPolicy CALM = new DegradationPolicy(64, Long.MAX_VALUE, false, 1);

  /** The policy for the given pressure levels. */
  public static DegradationPolicy of(
      PressureLevel processorLevel, PressureLevel memoryLevel, PressureLevel descriptorLevel) {
    int maxPendingResponses =
        switch (memoryLevel) {
          case CALM -> CALM.maxPendingResponses();
          case BUSY -> 16;
          case FULL -> 4;
        };
    PressureLevel idleConnectionLevel =
        memoryLevel.compareTo(descriptorLevel) >= 0 ? memoryLevel : descriptorLevel;
    long idleNanos =
        switch (idleConnectionLevel) {
          case CALM -> CALM.maxIdleNanos();
          case BUSY -> 5_000_000_000L;
          case FULL -> 1_000_000_000L;
        };
    return new DegradationPolicy(
        maxPendingResponses,
        idleNanos,
        memoryLevel != PressureLevel.CALM,
        processorLevel == PressureLevel.CALM ? 1 : 0.1);
  }
}
