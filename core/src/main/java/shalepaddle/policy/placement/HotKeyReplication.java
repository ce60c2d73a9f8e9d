package shalepaddle.policy.placement;

import java.util.SplittableRandom;
import shalepaddle.model.Settings;

/**
 * Gives a hot key several replicas, the first owners of its own hash sequence: it may outgrow one
 * server while each load balancer sees too little of it to reach a cap. Where crossing zones has a
 * price, a key that its zone reads often, and any write, goes to owners in the own zone.
 *
 * <p>Not thread-safe: owned by one router.
 */
public final class HotKeyReplication {
  /** The part of a server's mean load from which a key is shared by several servers. */
  private static final double HOT_KEY_LOAD_RATIO = 0.5;

  /** Observations in the zone times the price of crossing from which a copy there pays. */
  private static final double MIN_SAVED_PRICE = 0.15;

  /** Jumps for each zone and replica to look for a server in the own zone. */
  private static final double JUMPS_PER_ZONE_AND_REPLICA = 3;

  /** Observations below which the fraction of one key says little. */
  private static final double MIN_TOTAL_OBSERVATIONS = 50;

  private final HotKeySketch sketch = new HotKeySketch();

  /** A request whose replicas are selected. */
  public interface Target {
    /** The hash of its key. */
    long keyHash();

    /** Whether it changes the value. */
    boolean isWrite();

    /**
     * Takes the selection.
     *
     * @param replicas how many owners of the key's sequence share it, from 1 on
     * @param localJumps how many jumps look for a server in the own zone first, 0 for none
     * @param firstReplica the one to begin with, from 0 on
     */
    void assignReplicas(int replicas, int localJumps, int firstReplica);
  }

  /**
   * Counts a request for a key and selects its replicas. Draws a random number if there are
   * several.
   *
   * @param readyServers how many cache servers are ready
   */
  public void selectReplicas(
      double nowSeconds,
      Target request,
      int readyServers,
      Settings settings,
      SplittableRandom random) {
    boolean write = request.isWrite();
    double observations = write ? 0 : sketch.observe(nowSeconds, request.keyHash());
    double zones = Math.max(1, settings.zones().size());
    double inZone = observations * Math.max(1, settings.instances() / zones);
    double crossZonePrice = settings.prices().crossZone();
    boolean local = crossZonePrice > 0 && (write || inZone * crossZonePrice >= MIN_SAVED_PRICE);
    double fraction = observations / Math.max(sketch.total(), MIN_TOTAL_OBSERVATIONS);
    double servers = local ? readyServers / zones : readyServers;
    int replicas =
        (int) Math.max(1, Math.min(servers, Math.ceil(fraction * servers / HOT_KEY_LOAD_RATIO)));
    int localJumps = local ? (int) (replicas * zones * JUMPS_PER_ZONE_AND_REPLICA) : 0;
    int firstReplica = replicas > 1 ? random.nextInt(replicas) * (local ? (int) zones : 1) : 0;
    request.assignReplicas(replicas, localJumps, firstReplica);
  }
}
