package shalepaddle.overload;

/**
 * Tells retries from first attempts where clients do not mark them: a request for a key that was
 * rejected a moment ago, in the same class, is taken for a retry.
 *
 * <p>A direct-mapped table of {@value #SLOTS} slots of 16 bytes, each with the latest rejection of
 * its hashes. A rejection that was overwritten lets a retry pass for a first attempt, and two
 * callers of one key may look like one; both only shift a request by a tier.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class RetryInference {
  private static final int SLOTS = 4096;

  /** Longer than clients wait before a retry. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final long[] keyHashes = new long[SLOTS];
  private final long[] rejectedAtNanos = new long[SLOTS];

  /** A request of this class, for a key of this hash, was rejected. */
  public void recordRejection(long keyHash, int serviceClass, long now) {
    long mixed = mix(keyHash, serviceClass);
    int slot = (int) (mixed & (SLOTS - 1));
    keyHashes[slot] = mixed;
    rejectedAtNanos[slot] = now;
  }

  /** Whether a request of this class, for a key of this hash, is likely a retry. */
  public boolean isLikelyRetry(long keyHash, int serviceClass, long now) {
    long mixed = mix(keyHash, serviceClass);
    int slot = (int) (mixed & (SLOTS - 1));
    return keyHashes[slot] == mixed && now - rejectedAtNanos[slot] < WINDOW_NANOS;
  }

  /** Never 0, which is an empty slot. The finalizer of SplitMix64. */
  private static long mix(long keyHash, int serviceClass) {
    long hash = keyHash + 0x9E3779B97F4A7C15L * (serviceClass + 1);
    hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    return (hash ^ (hash >>> 31)) | 1L << 63;
  }
}
