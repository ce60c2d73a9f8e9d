package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Upstream;
import shalepaddle.membership.MemberList;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;

/** The connections to all cache servers, each known by the number that the module uses. */
public final class ServerPools implements Upstream {
  private final Map<Long, ServerPool> pools = new HashMap<>();

  /** Servers that an operator leaves out, also such as are not listed for now. */
  private final Set<Long> excluded = new HashSet<>();

  /** Servers that the list no longer has, until {@link #failUnroutable}. */
  private final Set<Long> gone = new HashSet<>();

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final ServerPool.Limits limits;
  private final ConnectionBudget budget;
  private final Dispatcher dispatcher;

  /**
   * No connections yet.
   *
   * @param bootstrap opens connections on the dispatcher's thread
   * @param codec what the servers speak
   * @param dispatcher is told how attempts end
   */
  public ServerPools(
      Bootstrap bootstrap, ServerCodec codec, ServerPool.Limits limits, Dispatcher dispatcher) {
    this.bootstrap = bootstrap;
    this.codec = codec;
    this.limits = limits;
    this.dispatcher = dispatcher;
    this.budget = new ConnectionBudget(limits.total());
  }

  /**
   * Takes in where the servers are now; what waits for those that leave or have left is handed back
   * by {@link #failUnroutable}.
   */
  public void update(MemberList list, double now) {
    if (list.full()) {
      gone.addAll(pools.keySet());
    }
    for (MemberList.Member member : list.members()) {
      ServerEntry entry = member.entry();
      if (entry.state() == ServerEntry.State.GONE) {
        gone.add(entry.id());
        continue;
      }
      gone.remove(entry.id());
      ServerPool pool =
          pools.computeIfAbsent(
              entry.id(),
              id -> new ServerPool(bootstrap, codec, limits, budget, dispatcher, member.address()));
      pool.listed(member.address(), entry, now);
    }
  }

  /**
   * What waits for a server that leaves or has left goes back; to be called once the decisions know
   * of that, so that it does not come again until it has used up its attempts.
   */
  public void failUnroutable() {
    List<Long> left = List.copyOf(gone);
    gone.clear();
    for (long id : left) {
      ServerPool pool = pools.remove(id);
      if (pool != null) {
        pool.vacate();
      }
    }
    List.copyOf(pools.values()).forEach(ServerPool::handBackUnfit);
  }

  /** Whether the server is listed, or left out by an operator. */
  public boolean isKnown(long server) {
    return pools.containsKey(server) || excluded.contains(server);
  }

  /**
   * An operator leaves a server out, or puts it back. What waits for a connection to it goes back,
   * never sent; what is under way may end, and no connection is used again.
   */
  public void setExcluded(long server, boolean out) {
    if (!out) {
      excluded.remove(server);
    } else if (excluded.add(server) && pools.containsKey(server)) {
      pools.get(server).vacate();
    }
  }

  @Override
  public void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    // It may have been decided before an operator's word, and waited since for the loop to catch
    // up.
    ServerPool pool = excluded.contains(attempt.server()) ? null : pools.get(attempt.server());
    if (pool == null) {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    } else {
      pool.send(attempt);
    }
  }

  @Override
  public void withdraw(Attempt attempt, boolean overdue) {
    if (attempt.carrier() != null) {
      attempt.carrier().abandon(attempt, overdue);
    } else {
      ServerPool pool = pools.get(attempt.server());
      if (pool != null) {
        pool.forget(attempt);
      }
    }
  }

  @Override
  public void closeIdle(long server) {
    ServerPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle(0);
    }
  }

  /** Nothing goes to any server from now on; what is under way may end. */
  public void close() {
    pools.values().forEach(ServerPool::vacate);
    pools.clear();
  }

  /** Connections that are open or on their way, all servers together. */
  public int connections() {
    return budget.taken();
  }

  /** So many other processes of this node hold so many of those that all may have together. */
  public void setPeerProcessUsage(int partners, int connections) {
    budget.setPeerProcessUsage(partners, connections);
  }

  /** Closes connections on which a reply began and does not go on. */
  public void closeStalled() {
    for (ServerPool pool : pools.values()) {
      pool.closeStalled();
    }
  }

  /**
   * Closes connections that have been idle for so long that the server might, those idle for longer
   * than what is short allows, and idle ones past this process's part.
   */
  public void closeExpiredIdle(long now, long mostNanos) {
    for (ServerPool pool : pools.values()) {
      pool.closeIdle(now - Math.min(mostNanos, limits.idleNanos()));
      pool.closeSurplus();
    }
  }
}
