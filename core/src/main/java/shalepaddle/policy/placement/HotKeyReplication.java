package shalepaddle.policy.placement;

import java.util.SplittableRandom;
import shalepaddle.model.Settings;

/**
 * Spreads a hot key over several replicas, the first owners on its hash sequence: its load may
 * exceed one server's capacity while each load balancer sends too few of its requests to reach a
 * cap. Where cross-zone attempts have a price, writes and keys that are often read in a zone go to
 * owners in the same zone.
 *
 * <p>Not thread-safe: owned by one router.
 */
public final class HotKeyReplication {
  /** Maximum load of one key per replica, as a fraction of a server's mean load. */
  private static final double HOT_KEY_LOAD_RATIO = 0.5;

  /**
   * The minimum product of the observations in the zone and the cross-zone price at which a copy in
   * the zone pays off.
   */
  private static final double MIN_SAVED_PRICE = 0.15;

  /** Number of ring jumps restricted to the own zone, per zone and replica. */
  private static final double OWN_ZONE_JUMPS_PER_ZONE_AND_REPLICA = 3;

  /**
   * Minimum of the total observations by which a key's fraction is computed: with fewer
   * observations, the fraction is unreliable.
   */
  private static final double MIN_TOTAL_OBSERVATIONS = 50;

  private final HotKeySketch sketch = new HotKeySketch();

  /** A request that replicas are selected for. */
  public interface Target {
    /** The hash of the request's key. */
    long keyHash();

    /** Whether the request changes the value. */
    boolean isWrite();

    /**
     * Receives the selection.
     *
     * @param replicas number of owners on the key's hash sequence that serve it, at least 1
     * @param ownZoneJumps number of ring jumps that are first tried in the own zone only, may be 0
     * @param firstReplica number of the replica to begin with, counted from 0
     */
    void assignReplicas(int replicas, int ownZoneJumps, int firstReplica);
  }

  /**
   * Counts a request for a key and selects the key's replicas. Draws a random number if there are
   * several.
   *
   * @param readyServers the number of cache servers that are ready
   */
  public void selectReplicas(
      double nowSeconds,
      Target request,
      int readyServers,
      Settings settings,
      SplittableRandom random) {
    boolean isWrite = request.isWrite();
    double observations = isWrite ? 0 : sketch.observe(nowSeconds, request.keyHash());
    double zoneCount = Math.max(1, settings.zones().size());
    double observationsInZone = observations * Math.max(1, settings.instances() / zoneCount);
    double crossZonePrice = settings.prices().crossZonePrice();
    boolean isLocal =
        crossZonePrice > 0 && (isWrite || observationsInZone * crossZonePrice >= MIN_SAVED_PRICE);
    double keyFraction =
        observations / Math.max(sketch.totalObservations(), MIN_TOTAL_OBSERVATIONS);
    double candidateServers = isLocal ? readyServers / zoneCount : readyServers;
    int replicas =
        (int)
            Math.max(
                1,
                Math.min(
                    candidateServers,
                    Math.ceil(keyFraction * candidateServers / HOT_KEY_LOAD_RATIO)));
    int ownZoneJumps =
        isLocal ? (int) (replicas * zoneCount * OWN_ZONE_JUMPS_PER_ZONE_AND_REPLICA) : 0;
    int firstReplica =
        replicas > 1 ? random.nextInt(replicas) * (isLocal ? (int) zoneCount : 1) : 0;
    request.assignReplicas(replicas, ownZoneJumps, firstReplica);
  }
}
