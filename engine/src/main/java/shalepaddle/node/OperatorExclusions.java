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
 * Applies operators' exclusions of cache servers to the connections and the decisions, whether they
 * come from this process's admin server or from another process of this node. The latest exclusion
 * or inclusion of a server is in force.
 *
 * <p>On the event loop alone.
 */
final class OperatorExclusions {
  private final ServerExclusions latest = new ServerExclusions();
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final Clock time;
  private final Log log;
  private final Runnable onChange;

  /**
   * Nothing is excluded yet.
   *
   * @param onChange runs after each exclusion or inclusion that was applied
   */
  OperatorExclusions(
      ServerPools pools, Dispatcher dispatcher, Clock time, Log log, Runnable onChange) {
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.time = time;
    this.log = log;
    this.onChange = onChange;
  }

  /**
   * Excludes a server for an operator of this process, or includes it again. Returns false, and
   * does nothing, if no such server is known.
   */
  boolean setExcluded(String member, boolean excluded) {
    if (!isKnown(member)) {
      return false;
    }
    log.line("event=" + (excluded ? "server_excluded" : "server_included") + " member=" + member);
    record(MemberList.serverNumber(member), excluded);
    return true;
  }

  /** Whether a server of this id is known. */
  boolean isKnown(String member) {
    return pools.isKnown(MemberList.serverNumber(member));
  }

  /** Merges what other processes of this node know; the later one of each server wins. */
  void merge(List<ServerExclusion> theirs) {
    latest.merge(theirs).forEach(this::apply);
  }

  private void record(long server, boolean excluded) {
    // Later than all that is known of this server, whatever the clock of another process was.
    long knownMillis =
        latest.all().stream()
            .filter(known -> known.server() == server)
            .mapToLong(ServerExclusion::atMillis)
            .findAny()
            .orElse(0);
    long atMillis = Math.max((long) (time.now() * 1e3), knownMillis + 1);
    ServerExclusion exclusion = new ServerExclusion(server, excluded, atMillis);
    latest.record(exclusion);
    apply(exclusion);
  }

  private void apply(ServerExclusion exclusion) {
    pools.setExcluded(exclusion.server(), exclusion.excluded());
    dispatcher.exclude(exclusion.server(), exclusion.excluded());
    onChange.run();
  }

  /** The latest of each server, those recorded first in front. */
  List<ServerExclusion> all() {
    return latest.all();
  }
}
