package shalepaddle.policy.placement;

import shalepaddle.policy.hash.Hashing;

/**
 * How often this load balancer sees each key: a count-min sketch (Cormode, Muthukrishnan, 2005)
 * with exponential decay. Not thread-safe: owned by one router.
 */
final class HotKeySketch {
  private static final int CELLS_PER_ROW = 1 << 12;

  private static final int ROWS = 2;

  /** Time after which old observations count half: short, since popularity moves on. */
  private static final double HALF_LIFE_SECONDS = 4;

  private static final double DECAY_INTERVAL_SECONDS = HALF_LIFE_SECONDS / 4;

  /** The fourth root of a half. */
  private static final float DECAY_PER_INTERVAL_RATIO = 0.8409f;

  private final float[][] rows = new float[ROWS][CELLS_PER_ROW];
  private float total;
  private double decayedAtSeconds;

  /** All recent observations of any key, decayed. */
  float total() {
    return total;
  }

  /** Counts an observation; returns the key's recent ones, decayed, an upper estimate. */
  float observe(double nowSeconds, long keyHash) {
    decayedAtSeconds = decayedAtSeconds == 0 ? nowSeconds : decayedAtSeconds;
    while (nowSeconds - decayedAtSeconds >= DECAY_INTERVAL_SECONDS) {
      decayedAtSeconds += DECAY_INTERVAL_SECONDS;
      decay();
    }
    total++;
    float least = Float.MAX_VALUE;
    long rowHash = keyHash;
    for (float[] row : rows) {
      rowHash = Hashing.mix(rowHash);
      least = Math.min(least, ++row[(int) rowHash & (CELLS_PER_ROW - 1)]);
    }
    return least;
  }

  private void decay() {
    total *= DECAY_PER_INTERVAL_RATIO;
    for (float[] row : rows) {
      for (int i = 0; i < CELLS_PER_ROW; i++) {
        row[i] *= DECAY_PER_INTERVAL_RATIO;
      }
    }
  }
}
