package shalepaddle.node;

import java.util.List;
import shalepaddle.engine.Dispatcher;
import shalepaddle.hotrestart.ServerExclusion;
import shalepaddle.hotrestart.ServerExclusions;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.membership.MemberList;
import shalepaddle.upstream.ServerPools;

/**
 * Applies operators' exclusions of cache servers to the connection pools and the policy, whether
 * they come from this process's admin server or from another process of this node. The latest
 * exclusion or inclusion of a server is in force.
 *
 * <p>Used on the event loop only.
 */
final class OperatorExclusions {
  private final ServerExclusions latestExclusions = new ServerExclusions();
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final Clock nodeClock;
  private final Log log;
  private final Runnable onChange;

  /**
   * Creates an instance with no server excluded.
   *
   * @param onChange runs after each exclusion or inclusion that was applied
   */
  OperatorExclusions(
      ServerPools pools, Dispatcher dispatcher, Clock nodeClock, Log log, Runnable onChange) {
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.nodeClock = nodeClock;
    this.log = log;
    this.onChange = onChange;
  }

  /**
   * Excludes a server for an operator of this process, or includes it again. Returns false, and
   * does nothing, if no such server is known.
   */
  boolean setExcluded(String member, boolean isExcluded) {
    if (!isKnown(member)) {
      return false;
    }
    log.writeLine(
        "event=" + (isExcluded ? "server_excluded" : "server_included") + " member=" + member);
    recordAndApply(MemberList.serverNumber(member), isExcluded);
    return true;
  }

  /** Whether a server of this id is known. */
  boolean isKnown(String member) {
    return pools.isKnown(MemberList.serverNumber(member));
  }

  /** Merges the exclusions of this node's other processes; the latest of each server wins. */
  void merge(List<ServerExclusion> otherExclusions) {
    latestExclusions.merge(otherExclusions).forEach(this::apply);
  }

  private void recordAndApply(long server, boolean isExcluded) {
    // The time is later than that of the known record, even if another process's clock is ahead.
    long latestKnownMillis =
        latestExclusions.latestRecords().stream()
            .filter(known -> known.server() == server)
            .mapToLong(ServerExclusion::commandedAtMillis)
            .findAny()
            .orElse(0);
    long commandMillis = Math.max((long) (nodeClock.now() * 1e3), latestKnownMillis + 1);
    ServerExclusion exclusion = new ServerExclusion(server, isExcluded, commandMillis);
    latestExclusions.record(exclusion);
    apply(exclusion);
  }

  private void apply(ServerExclusion exclusion) {
    pools.setExcluded(exclusion.server(), exclusion.isExcluded());
    dispatcher.setExcluded(exclusion.server(), exclusion.isExcluded());
    onChange.run();
  }

  /** The latest exclusion or inclusion of each server, in the order in which they were recorded. */
  List<ServerExclusion> latestRecords() {
    return latestExclusions.latestRecords();
  }
}
