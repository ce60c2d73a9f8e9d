package shalepaddle.policy;

/** How often this balancer sees each key: a small count-min sketch that fades. */
final class HotKeySketch {
  private static final int CELLS = 1 << 12;

  /** Seconds after which old sightings count half: a few, since popularity moves on. */
  private static final double HALF_LIFE = 4;

  private static final float KEEP = 0.8409f; // the fourth root of a half

  private final float[][] rows = new float[2][CELLS];

  /** All recent sightings, counted alike. */
  float total;

  private double foldedAt;

  /** Counts a sighting and returns the key's weight: its recent sightings, an upper estimate. */
  float seen(double now, long keyHash) {
    foldedAt = foldedAt == 0 ? now : foldedAt;
    while (now - foldedAt >= HALF_LIFE / 4) {
      foldedAt += HALF_LIFE / 4;
      total *= KEEP;
      for (float[] row : rows) {
        for (int i = 0; i < CELLS; i++) {
          row[i] *= KEEP;
        }
      }
    }
    total++;
    float least = Float.MAX_VALUE;
    long h = keyHash;
    for (float[] row : rows) {
      h = ConsistentHashRing.mix(h);
      least = Math.min(least, ++row[(int) h & (CELLS - 1)]);
    }
    return least;
  }
}
