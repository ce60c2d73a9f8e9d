package shalepaddle.policy;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;

/**
 * When each server started, in this balancer's own time.
 *
 * <p>The list stamps starts with the wall clock of whoever writes it, which may be off from this
 * machine's by any span and may step. So a start that is told while the list is followed counts
 * from when it is heard of. In the first list stamps are compared with each other alone: a server
 * that started well before the newest one is warm. Of the others nothing certain is known, and they
 * count as having started as lately as the stamps allow; but if that were most of the list, they
 * are taken for warm unless this machine's clock says otherwise, so that not all is refused.
 *
 * <p>Bounded to {@value #MOST} servers, of which those that have left are kept: one that comes back
 * with the same stamp has not started anew.
 */
final class ServerStartTimes {
  /** The start of a server that is warm, whenever it started. */
  static final double LONG_AGO = Double.NEGATIVE_INFINITY;

  private static final int MOST = 8192;

  /** A start as the list stamps it, and the time at which it is taken to have been. */
  private record Start(double stamp, double at) {}

  private final Map<Long, Start> starts =
      new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Start> eldest) {
          return size() > MOST;
        }
      };

  private final double warmWithin;
  private boolean followed;
  private long version = Long.MIN_VALUE;

  /** Knows of no server; one is warm so many seconds after its start. */
  ServerStartTimes(double warmWithin) {
    this.warmWithin = warmWithin;
  }

  /** When the server started: {@link #LONG_AGO} if the list does not say. */
  double of(long id) {
    Start start = starts.get(id);
    return start == null ? LONG_AGO : start.at;
  }

  /** From now on the server counts as having started now, until the list tells another start. */
  void restarted(double now, long id) {
    Start known = starts.get(id);
    starts.put(id, new Start(known == null ? 0 : known.stamp, now));
  }

  /** Takes in the starts that an update tells. */
  void learn(double now, MembershipUpdate update) {
    boolean older = update.version() < version;
    version = Math.max(version, update.version());
    boolean changes = update.kind() == MembershipUpdate.Kind.DELTA;
    FirstList first = followed || changes ? null : new FirstList(now, update.entries());
    for (ServerEntry entry : update.entries()) {
      Start known = starts.get(entry.id());
      double stamp = entry.startedAtSeconds();
      if (isNews(known, stamp, older)) {
        double at = stamp <= 0 ? LONG_AGO : first == null ? now : first.start(stamp);
        starts.put(entry.id(), new Start(stamp, at));
      }
    }
    followed |= update.kind() != MembershipUpdate.Kind.CACHED;
  }

  /** An older list, from a replica that lags, tells no start of a server that is known. */
  private static boolean isNews(Start known, double stamp, boolean older) {
    return known == null || (stamp > 0 && known.stamp != stamp && !(older && stamp < known.stamp));
  }

  /** What can be known of starts that were before this balancer's own. */
  private final class FirstList {
    private final double now;
    private final double newest;
    private final boolean mostAreNew;

    FirstList(double now, List<ServerEntry> entries) {
      this.now = now;
      newest = entries.stream().mapToDouble(ServerEntry::startedAtSeconds).max().orElse(0);
      long fresh = entries.stream().filter(entry -> mayBeCold(entry.startedAtSeconds())).count();
      mostAreNew = 2 * fresh > entries.size();
    }

    private boolean mayBeCold(double stamp) {
      return stamp > 0 && newest - stamp < warmWithin;
    }

    double start(double stamp) {
      double age = now - stamp;
      boolean coldByThisClock = age >= 0 && age < warmWithin;
      boolean cold = mayBeCold(stamp) && (coldByThisClock || !mostAreNew);
      return cold ? now - (newest - stamp) : LONG_AGO;
    }
  }
}
