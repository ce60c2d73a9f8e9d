package shalepaddle.overload;

/**
 * Infers retries where clients do not mark them: a request is likely a retry if a request of the
 * same class for the same key was rejected within the last second.
 *
 * <p>Uses a direct-mapped table of {@value #SLOT_COUNT} slots of 16 bytes, each with the latest
 * rejection that hashes to it. If a rejection was overwritten, a retry counts as a first attempt,
 * and two callers that request the same key are not distinguished. Both errors only change a
 * request's tier.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe.
 */
public final class RetryInference {
  private static final int SLOT_COUNT = 4096;

  /** How long a rejection is remembered; longer than clients wait before a retry. */
  private static final long WINDOW_NANOS = 1_000_000_000L;

  private final long[] keyHashes = new long[SLOT_COUNT];
  private final long[] rejectedAtNanos = new long[SLOT_COUNT];

  /** Records that a request with this class and key hash was rejected. */
  public void recordRejection(long keyHash, int serviceClass, long now) {
    long mixedHash = mix(keyHash, serviceClass);
    int slot = (int) (mixedHash & (SLOT_COUNT - 1));
    keyHashes[slot] = mixedHash;
    rejectedAtNanos[slot] = now;
  }

  /** Whether a request with this class and key hash is likely a retry. */
  public boolean isLikelyRetry(long keyHash, int serviceClass, long now) {
    long mixedHash = mix(keyHash, serviceClass);
    int slot = (int) (mixedHash & (SLOT_COUNT - 1));
    return keyHashes[slot] == mixedHash && now - rejectedAtNanos[slot] < WINDOW_NANOS;
  }

  /** The finalizer of SplitMix64, with the highest bit set since 0 marks an empty slot. */
  private static long mix(long keyHash, int serviceClass) {
    long hash = keyHash + 0x9E3779B97F4A7C15L * (serviceClass + 1);
    hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    return (hash ^ (hash >>> 31)) | 1L << 63;
  }
}
