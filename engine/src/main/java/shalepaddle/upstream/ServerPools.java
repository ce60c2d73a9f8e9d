package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.engine.Upstream;
import shalepaddle.membership.MemberList;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.sockets.SendQueues;

/**
 * The connection pools of all cache servers, by the server ids that the policy uses. Called only on
 * the event loop.
 */
public final class ServerPools implements Upstream {
  private final Map<Long, ServerPool> pools = new HashMap<>();

  /** Servers that an operator has excluded, including those that are not listed now. */
  private final Set<Long> excludedServers = new HashSet<>();

  /** Servers that are no longer listed, until {@link #failUnroutable} is called. */
  private final Set<Long> removedServers = new HashSet<>();

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final ServerPool.Limits limits;
  private final ConnectionBudget budget;
  private final SendQueues sendQueues;
  private final MemoryBudget replyBudget;
  private final Dispatcher dispatcher;

  /**
   * Creates an instance without servers.
   *
   * @param bootstrap opens connections on the dispatcher's event loop
   * @param codec the protocol of the servers
   * @param limits the limits of the connections to each server
   * @param replyBudget limits the replies that are received in part
   * @param sendQueues tells what has not arrived at servers
   * @param dispatcher is notified of the outcomes of attempts
   */
  public ServerPools(
      Bootstrap bootstrap,
      ServerCodec codec,
      ServerPool.Limits limits,
      MemoryBudget replyBudget,
      SendQueues sendQueues,
      Dispatcher dispatcher) {
    this.replyBudget = replyBudget;
    this.bootstrap = bootstrap;
    this.codec = codec;
    this.limits = limits;
    this.dispatcher = dispatcher;
    this.budget = new ConnectionBudget(limits.maxConnections());
    this.sendQueues = sendQueues;
  }

  /**
   * Applies the servers' latest addresses and states. Attempts that are queued for servers that
   * were removed or are draining are failed by {@link #failUnroutable}.
   *
   * @param nowSeconds the time by the list's clock
   */
  public void update(MemberList list, double nowSeconds) {
    if (list.isComplete()) {
      removedServers.addAll(pools.keySet());
    }
    for (MemberList.Member member : list.members()) {
      ServerEntry entry = member.entry();
      if (entry.state() == ServerEntry.State.REMOVED) {
        removedServers.add(entry.id());
        continue;
      }
      removedServers.remove(entry.id());
      ServerPool pool =
          pools.computeIfAbsent(
              entry.id(),
              id ->
                  new ServerPool(
                      bootstrap,
                      codec,
                      limits,
                      budget,
                      sendQueues,
                      replyBudget,
                      dispatcher,
                      member.address()));
      pool.update(member.address(), entry, nowSeconds);
    }
  }

  /**
   * Fails the attempts that are queued for servers that were removed, are draining or have changed
   * their cell. Must be called after the policy was notified of the update: it would otherwise
   * choose the same server again until the request has used up its attempts.
   */
  public void failUnroutable() {
    List<Long> removedIds = List.copyOf(removedServers);
    removedServers.clear();
    for (long id : removedIds) {
      ServerPool pool = pools.remove(id);
      if (pool != null) {
        pool.drain();
      }
    }
    List.copyOf(pools.values()).forEach(ServerPool::failUnroutable);
  }

  /** Whether the server is listed, or excluded by an operator. */
  public boolean isKnown(long server) {
    return pools.containsKey(server) || excludedServers.contains(server);
  }

  /**
   * Excludes a server by an operator's command, or includes it again. An exclusion fails the
   * attempts that are queued for the server. Attempts in flight continue, but no connection is used
   * again.
   */
  public void setExcluded(long server, boolean isExcluded) {
    if (!isExcluded) {
      excludedServers.remove(server);
    } else if (excludedServers.add(server) && pools.containsKey(server)) {
      pools.get(server).drain();
    }
  }

  @Override
  public void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    // Sends are delayed while the loop has a backlog: the policy may have decided before the
    // exclusion.
    ServerPool pool =
        excludedServers.contains(attempt.server()) ? null : pools.get(attempt.server());
    if (pool == null) {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    } else {
      pool.send(attempt);
    }
  }

  @Override
  public void withdraw(Attempt attempt, boolean isOverdue) {
    if (attempt.connection() != null) {
      attempt.connection().abandon(attempt, isOverdue);
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

  /** Sends no further attempts to any server; attempts in flight continue. */
  public void close() {
    pools.values().forEach(ServerPool::drain);
    pools.clear();
  }

  /** The number of connections to all servers that are open or being opened. */
  public int connectionCount() {
    return budget.openConnections();
  }

  /** Sets the number of other processes of this node and the number of their connections. */
  public void setPeerProcessUsage(int processes, int connections) {
    budget.setPeerProcessUsage(processes, connections);
  }

  /** Closes connections on which a reply has begun but makes no progress. */
  public void closeStalled() {
    for (ServerPool pool : pools.values()) {
      pool.closeStalled();
    }
  }

  /**
   * Closes connections that have been idle for longer than the configured time, after which a
   * server may close them itself, or for longer than {@code maxIdleNanos}. Also closes idle
   * connections beyond this process's share.
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
