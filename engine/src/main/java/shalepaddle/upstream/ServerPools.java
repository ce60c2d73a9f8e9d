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

/**
 * The connections to all cache servers, by the ids that the policy uses. All of it runs on the
 * event loop.
 */
public final class ServerPools implements Upstream {
  private final Map<Long, ServerPool> pools = new HashMap<>();

  /** Servers that an operator has excluded, also such as are not listed for now. */
  private final Set<Long> excluded = new HashSet<>();

  /** Servers that the list no longer has, until {@link #failUnroutable}. */
  private final Set<Long> removed = new HashSet<>();

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final ServerPool.Limits limits;
  private final ConnectionBudget budget;
  private final Dispatcher dispatcher;

  /**
   * No connections yet.
   *
   * @param bootstrap opens connections on the dispatcher's event loop
   * @param codec the servers' protocol
   * @param dispatcher is notified how attempts end
   */
  public ServerPools(
      Bootstrap bootstrap, ServerCodec codec, ServerPool.Limits limits, Dispatcher dispatcher) {
    this.bootstrap = bootstrap;
    this.codec = codec;
    this.limits = limits;
    this.dispatcher = dispatcher;
    this.budget = new ConnectionBudget(limits.maxTotal());
  }

  /**
   * Takes the servers' latest addresses and states. Attempts that are queued for servers that were
   * removed or are draining fail in {@link #failUnroutable}.
   *
   * @param nowSeconds the time by the list's clock
   */
  public void update(MemberList list, double nowSeconds) {
    if (list.full()) {
      removed.addAll(pools.keySet());
    }
    for (MemberList.Member member : list.members()) {
      ServerEntry entry = member.entry();
      if (entry.state() == ServerEntry.State.REMOVED) {
        removed.add(entry.id());
        continue;
      }
      removed.remove(entry.id());
      ServerPool pool =
          pools.computeIfAbsent(
              entry.id(),
              id -> new ServerPool(bootstrap, codec, limits, budget, dispatcher, member.address()));
      pool.update(member.address(), entry, nowSeconds);
    }
  }

  /**
   * Fails what is queued for servers that were removed, are draining or have changed their cell. To
   * be called once the policy knows of that: it would otherwise choose the same server again until
   * the request has used up its attempts.
   */
  public void failUnroutable() {
    List<Long> ids = List.copyOf(removed);
    removed.clear();
    for (long id : ids) {
      ServerPool pool = pools.remove(id);
      if (pool != null) {
        pool.drain();
      }
    }
    List.copyOf(pools.values()).forEach(ServerPool::failUnroutable);
  }

  /** Whether the server is listed, or excluded by an operator. */
  public boolean isKnown(long server) {
    return pools.containsKey(server) || excluded.contains(server);
  }

  /**
   * An operator excludes a server, or includes it again. An exclusion fails what is queued for the
   * server; what is in flight may end, and no connection is used again.
   */
  public void setExcluded(long server, boolean isExcluded) {
    if (!isExcluded) {
      excluded.remove(server);
    } else if (excluded.add(server) && pools.containsKey(server)) {
      pools.get(server).drain();
    }
  }

  @Override
  public void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    // The policy may have decided before the exclusion: sends wait while the loop has a backlog.
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
        pool.withdraw(attempt);
      }
    }
  }

  @Override
  public void closeIdle(long server) {
    ServerPool pool = pools.get(server);
    if (pool != null) {
      pool.closeIdle();
    }
  }

  /** Sends nothing to any server from now on; what is in flight may end. */
  public void close() {
    pools.values().forEach(ServerPool::drain);
    pools.clear();
  }

  /** Connections to all servers that are open or being opened. */
  public int connections() {
    return budget.taken();
  }

  /** Sets the number of this node's other processes, and of the connections they have together. */
  public void setPeerProcessUsage(int processes, int connections) {
    budget.setPeerProcessUsage(processes, connections);
  }

  /** Closes connections on which a reply began and does not go on. */
  public void closeStalled() {
    for (ServerPool pool : pools.values()) {
      pool.closeStalled();
    }
  }

  /**
   * Closes idle connections past the configured time, after which a server may close them itself,
   * or past the time given; and those past this process's share.
   *
   * @param now the time by the loop's clock
   */
  public void closeExpiredIdle(long now, long maxIdleNanos) {
    for (ServerPool pool : pools.values()) {
      pool.closeIdleSince(now - Math.min(maxIdleNanos, limits.maxIdleNanos()));
      pool.closeSurplus();
    }
  }
}
