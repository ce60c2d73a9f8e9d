package shalepaddle.policy.health;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;

/**
 * The start time of each server, in this load balancer's own time.
 *
 * <p>The endpoint list gives start times by the wall clock of its author, which may differ from
 * this machine's clock by any amount and may step. A start that is listed while this load balancer
 * follows the list therefore counts from the time at which the update arrives. In the first list,
 * start times are only compared with each other: a server that started well before the newest one
 * is warm. The other servers count as started as recently as the listed times permit. If they are
 * more than half of the list, they count as warm unless this machine's clock also shows a recent
 * start, so that not all requests are rejected.
 *
 * <p>Bounded to {@value #MAX_SERVERS} servers. Removed servers are included: one that is listed
 * again with the same start time has not restarted. Times are in seconds. Not thread-safe: owned by
 * one router.
 */
public final class ServerStartTimes {
  /** The start time of a server that counts as warm. */
  public static final double LONG_AGO = Double.NEGATIVE_INFINITY;

  private static final int MAX_SERVERS = 8192;

  /**
   * The start of a server, by the clock of the list's author and in this load balancer's own time.
   */
  private record Start(double listedSeconds, double localSeconds) {}

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
   * Creates the record without any server.
   *
   * @param slowStartSeconds the time after its start at which a server is warm
   */
  public ServerStartTimes(double slowStartSeconds) {
    this.slowStartSeconds = slowStartSeconds;
  }

  /** The time at which the server started; {@link #LONG_AGO} if the list has no start of it. */
  public double startedAtSeconds(long id) {
    Start start = starts.get(id);
    return start == null ? LONG_AGO : start.localSeconds;
  }

  /** Counts the server as started now, until the list gives a different start. */
  public void markRestarted(double nowSeconds, long id) {
    Start knownStart = starts.get(id);
    starts.put(id, new Start(knownStart == null ? 0 : knownStart.listedSeconds, nowSeconds));
  }

  /** Records the starts in an update of the list. */
  public void learn(double nowSeconds, MembershipUpdate update) {
    boolean isOlderList = update.version() < newestVersion;
    newestVersion = Math.max(newestVersion, update.version());
    boolean isDelta = update.kind() == MembershipUpdate.Kind.DELTA;
    FirstList firstList =
        isFollowing || isDelta ? null : new FirstList(nowSeconds, update.entries());
    for (ServerEntry entry : update.entries()) {
      Start knownStart = starts.get(entry.id());
      double listedSeconds = entry.startedAtSeconds();
      if (isNewStart(knownStart, listedSeconds, isOlderList)) {
        starts.put(
            entry.id(),
            new Start(listedSeconds, startSeconds(nowSeconds, listedSeconds, firstList)));
      }
    }
    isFollowing |= update.kind() != MembershipUpdate.Kind.CACHED;
  }

  private static double startSeconds(double nowSeconds, double listedSeconds, FirstList firstList) {
    if (listedSeconds <= 0) {
      return LONG_AGO;
    }
    return firstList == null ? nowSeconds : firstList.startSeconds(listedSeconds);
  }

  /**
   * Whether a listed start time shows a new start. An older list, from a replica that lags, may
   * give an earlier start time of a known server, which is not a new start.
   */
  private static boolean isNewStart(Start knownStart, double listedSeconds, boolean isOlderList) {
    return knownStart == null
        || (listedSeconds > 0
            && knownStart.listedSeconds != listedSeconds
            && !(isOlderList && listedSeconds < knownStart.listedSeconds));
  }

  /** Estimates the starts in the first list, which were before this load balancer's own start. */
  private final class FirstList {
    private final double nowSeconds;
    private final double newestListedSeconds;
    private final boolean areMostStartsRecent;

    FirstList(double nowSeconds, List<ServerEntry> entries) {
      this.nowSeconds = nowSeconds;
      newestListedSeconds =
          entries.stream().mapToDouble(ServerEntry::startedAtSeconds).max().orElse(0);
      long recentStarts =
          entries.stream().filter(entry -> mayBeWarmingUp(entry.startedAtSeconds())).count();
      areMostStartsRecent = 2 * recentStarts > entries.size();
    }

    private boolean mayBeWarmingUp(double listedSeconds) {
      return listedSeconds > 0 && newestListedSeconds - listedSeconds < slowStartSeconds;
    }

    double startSeconds(double listedSeconds) {
      double ageSeconds = nowSeconds - listedSeconds;
      boolean isWarmingUpByThisClock = ageSeconds >= 0 && ageSeconds < slowStartSeconds;
      boolean isWarmingUp =
          mayBeWarmingUp(listedSeconds) && (isWarmingUpByThisClock || !areMostStartsRecent);
      return isWarmingUp ? nowSeconds - (newestListedSeconds - listedSeconds) : LONG_AGO;
    }
  }
}
