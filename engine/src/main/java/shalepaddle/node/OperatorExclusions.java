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
 * The one way in for operators' words on cache servers, whoever says them: the door, another
 * process of this node, or the group that all nodes are in. The last word on a server holds.
 *
 * <p>On the event loop alone.
 */
final class OperatorExclusions {
  private final ServerExclusions words = new ServerExclusions();
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final Clock time;
  private final Log log;
  private final Runnable changed;

  /**
   * No word has been said.
   *
   * @param changed runs when a word has come into force
   */
  OperatorExclusions(
      ServerPools pools, Dispatcher dispatcher, Clock time, Log log, Runnable changed) {
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.time = time;
    this.log = log;
    this.changed = changed;
  }

  /** An operator says it at this node; false, and nothing is done, if no such server is known. */
  boolean setExcluded(String member, boolean out) {
    if (!isKnown(member)) {
      return false;
    }
    log.line(member + (out ? " left out" : " put back") + " by hand");
    say(MemberList.serverNumber(member), out);
    return true;
  }

  /** Whether a server of this id is known. */
  boolean isKnown(String member) {
    return pools.isKnown(MemberList.serverNumber(member));
  }

  /** Other processes of this node have heard these. */
  void merge(List<ServerExclusion> theirs) {
    words.merge(theirs).forEach(this::apply);
  }

  private void say(long server, boolean out) {
    // Behind what was heard before of this server, whatever the clock of another process says.
    long latest =
        words.all().stream()
            .filter(word -> word.server() == server)
            .mapToLong(ServerExclusion::atMillis)
            .findAny()
            .orElse(0);
    ServerExclusion word =
        new ServerExclusion(server, out, Math.max((long) (time.now() * 1e3), latest + 1));
    words.record(word);
    apply(word);
  }

  private void apply(ServerExclusion word) {
    pools.setExcluded(word.server(), word.excluded());
    dispatcher.exclude(word.server(), word.excluded());
    changed.run();
  }

  /** All that were said, oldest first. */
  List<ServerExclusion> all() {
    return words.all();
  }
}
