package shalepaddle.overload;

/**
 * Tells clients' repeats from first tries where clients do not mark them: a request for what was
 * refused a moment ago, in the same class, is taken for a repeat.
 *
 * <p>A table of a fixed size, one place for each hash, the latest refusal in it (as in a
 * direct-mapped cache): {@value #PLACES} places of 16 bytes. What it gets wrong: a refusal that was
 * overwritten lets a repeat pass for a first try; two callers of one key within the window, of whom
 * the first was refused, make the second look like a repeat. Both only shift a request by a tier.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class RetryInference {
  private static final int PLACES = 4096;

  /** Clients wait for some tens to hundreds of milliseconds before they try again. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final long[] subjects = new long[PLACES];
  private final long[] refusedAt = new long[PLACES];

  /** A request of this class for what has this hash was refused. */
  public void recordRejection(long subject, int serviceClass, long now) {
    long mixed = mix(subject, serviceClass);
    int place = (int) (mixed & (PLACES - 1));
    subjects[place] = mixed;
    refusedAt[place] = now;
  }

  /** Whether a request of this class for what has this hash looks like a repeat. */
  public boolean isLikelyRetry(long subject, int serviceClass, long now) {
    long mixed = mix(subject, serviceClass);
    int place = (int) (mixed & (PLACES - 1));
    return subjects[place] == mixed && now - refusedAt[place] < WINDOW_NANOS;
  }

  /** Never 0, which stands for an empty place. Stafford's mix, as in SplitMix64. */
  private static long mix(long subject, int serviceClass) {
    long z = subject + 0x9E3779B97F4A7C15L * (serviceClass + 1);
    z = (z ^ (z >>> 30)) * 0xBF58476D1CE4E5B9L;
    z = (z ^ (z >>> 27)) * 0x94D049BB133111EBL;
    return (z ^ (z >>> 31)) | 1L << 63;
  }
}
