package shalepaddle.policy.placement;

import shalepaddle.policy.hash.Hashing;

/**
 * Estimates how often this load balancer gets requests for each key: a count-min sketch (Cormode,
 * Muthukrishnan, 2005) with exponential decay. Not thread-safe: owned by one router.
 */
final class HotKeySketch {
  private static final int CELLS_PER_ROW = 1 << 12;

  private static final int ROW_COUNT = 2;

  /** Half-life of observations; short, since the popularity of keys changes. */
  private static final double HALF_LIFE_SECONDS = 4;

  private static final double DECAY_INTERVAL_SECONDS = HALF_LIFE_SECONDS / 4;

  /** The fourth root of one half, as there are four decay intervals in a half-life. */
  private static final float DECAY_PER_INTERVAL_RATIO = 0.8409f;

  private final float[][] rows = new float[ROW_COUNT][CELLS_PER_ROW];
  private float totalObservations;
  private double decayedAtSeconds;

  /** The decayed number of observations of all keys. */
  float totalObservations() {
    return totalObservations;
  }

  /** Counts an observation; returns an upper estimate of the key's decayed observations. */
  float observe(double nowSeconds, long keyHash) {
    decayedAtSeconds = decayedAtSeconds == 0 ? nowSeconds : decayedAtSeconds;
    while (nowSeconds - decayedAtSeconds >= DECAY_INTERVAL_SECONDS) {
      decayedAtSeconds += DECAY_INTERVAL_SECONDS;
      decay();
    }
    totalObservations++;
    float lowestCount = Float.MAX_VALUE;
    long rowHash = keyHash;
    for (float[] row : rows) {
      rowHash = Hashing.mix(rowHash);
      lowestCount = Math.min(lowestCount, ++row[(int) rowHash & (CELLS_PER_ROW - 1)]);
    }
    return lowestCount;
  }

  private void decay() {
    totalObservations *= DECAY_PER_INTERVAL_RATIO;
    for (float[] row : rows) {
      for (int i = 0; i < CELLS_PER_ROW; i++) {
        row[i] *= DECAY_PER_INTERVAL_RATIO;
      }
    }
  }
}
