package shalepaddle.policy.hash;

/**
 * The hash functions of the routing policy. They depend only on their arguments, so that all load
 * balancers with the same endpoint list map keys to the same servers. Stateless.
 */
public final class Hashing {
  private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;

  private static final long FNV_PRIME = 0x100000001B3L;

  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

  private Hashing() {}

  /** A 64-bit hash of a string: FNV-1a over its UTF-16 code units, then {@link #mix}. */
  public static long ofText(String text) {
    long hash = FNV_OFFSET_BASIS;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * FNV_PRIME;
    }
    return mix(hash);
  }

  /** The finalizer of SplitMix64 (Steele, Lea, Flood, 2014). */
  public static long mix(long value) {
    long mixed = value + GOLDEN_GAMMA;
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }

  /** The hash of a key's nth attempt, counted from 0. Each key has its own sequence of hashes. */
  public static long ofAttempt(long keyHash, int attempt) {
    return mix(keyHash + attempt * GOLDEN_GAMMA);
  }

  /** The hash of a key at a server. */
  public static long ofKeyAtServer(long keyHash, long serverId) {
    return mix(keyHash ^ mix(serverId));
  }

  /** Maps a hash to a number in [0, 1). */
  public static double toFraction(long hash) {
    return (mix(hash) >>> 11) * 0x1.0p-53;
  }
}
