package shalepaddle.policy.health;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;

/**
 * When each server started, in this load balancer's own time.
 *
 * <p>The endpoint list stamps starts with the wall clock of its author, which may differ from this
 * machine's by any amount and may step. So a start that is listed while the list is followed counts
 * from when it is received. In the first list, stamps are compared with each other alone: a server
 * that started well before the newest one is warm. Of the others nothing certain is known, and they
 * count as having started as lately as the stamps permit; but if that were most of the list, they
 * count as warm unless this machine's clock says otherwise, so that not all requests are rejected.
 *
 * <p>Bounded to {@value #MAX_SERVERS} servers, among them some that were removed: one that comes
 * back with the same stamp has not started anew. Times are in seconds. Not thread-safe: owned by
 * one router.
 */
public final class ServerStartTimes {
  /** The start of a server that is warm, whenever it started. */
  public static final double LONG_AGO = Double.NEGATIVE_INFINITY;

  private static final int MAX_SERVERS = 8192;

  /** A start as the list stamps it, and in this load balancer's time. */
  private record Start(double stampSeconds, double atSeconds) {}

  private final Map<Long, Start> starts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
          return size() > MAX_SERVERS;
        }
      };

  private final double slowStartSeconds;
  private boolean isFollowing;
  private long newestVersion = Long.MIN_VALUE;

  /**
   * Without any server.
   *
   * @param slowStartSeconds how long after its start a server is warm
   */
  public ServerStartTimes(double slowStartSeconds) {
    this.slowStartSeconds = slowStartSeconds;
  }

  /** When the server started: {@link #LONG_AGO} if the list does not say. */
  public double of(long id) {
    Start start = starts.get(id);
    return start == null ? LONG_AGO : start.atSeconds;
  }

  /** The server counts as having started now, until another start is listed. */
  public void restarted(double nowSeconds, long id) {
    Start known = starts.get(id);
    starts.put(id, new Start(known == null ? 0 : known.stampSeconds, nowSeconds));
  }

  /** Takes in the starts of an update of the list. */
  public void learn(double nowSeconds, MembershipUpdate update) {
    boolean isOlder = update.version() < newestVersion;
    newestVersion = Math.max(newestVersion, update.version());
    boolean isDelta = update.kind() == MembershipUpdate.Kind.DELTA;
    FirstList first = isFollowing || isDelta ? null : new FirstList(nowSeconds, update.entries());
    for (ServerEntry entry : update.entries()) {
      Start known = starts.get(entry.id());
      double stamp = entry.startedAtSeconds();
      if (isNewStart(known, stamp, isOlder)) {
        starts.put(entry.id(), new Start(stamp, startSeconds(nowSeconds, stamp, first)));
      }
    }
    isFollowing |= update.kind() != MembershipUpdate.Kind.CACHED;
  }

  private static double startSeconds(double nowSeconds, double stamp, FirstList first) {
    if (stamp <= 0) {
      return LONG_AGO;
    }
    return first == null ? nowSeconds : first.startSeconds(stamp);
  }

  /** An older list, from a replica that lags, has no new start of a server that is known. */
  private static boolean isNewStart(Start known, double stamp, boolean isOlder) {
    return known == null
        || (stamp > 0 && known.stampSeconds != stamp && !(isOlder && stamp < known.stampSeconds));
  }

  /** What can be known of starts that were before this load balancer's own. */
  private final class FirstList {
    private final double nowSeconds;
    private final double newestStamp;
    private final boolean areMostNew;

    FirstList(double nowSeconds, List<ServerEntry> entries) {
      this.nowSeconds = nowSeconds;
      newestStamp = entries.stream().mapToDouble(ServerEntry::startedAtSeconds).max().orElse(0);
      long fresh =
          entries.stream().filter(entry -> mayBeWarmingUp(entry.startedAtSeconds())).count();
      areMostNew = 2 * fresh > entries.size();
    }

    private boolean mayBeWarmingUp(double stamp) {
      return stamp > 0 && newestStamp - stamp < slowStartSeconds;
    }

    double startSeconds(double stamp) {
      double age = nowSeconds - stamp;
      boolean isWarmingUpByThisClock = age >= 0 && age < slowStartSeconds;
      boolean isWarmingUp = mayBeWarmingUp(stamp) && (isWarmingUpByThisClock || !areMostNew);
      return isWarmingUp ? nowSeconds - (newestStamp - stamp) : LONG_AGO;
    }
  }
}
