package shalepaddle.upstream;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.sockets.ConnectCompletion;
import shalepaddle.sockets.SendQueues;

/**
 * This process's connections to one cache server, and the attempts that wait for a connection.
 * Called only on the event loop. Calls of the {@link Dispatcher} may call this pool again before
 * they return.
 */
public final class ServerPool {
  /**
   * Limits of the connections to each server.
   *
   * @param maxConnectionsPerServer the maximum number of connections of the node to one server
   * @param maxConnections the maximum number of connections to all servers together; the first
   *     connection to each server is allowed beyond it
   * @param maxInFlightPerConnection the maximum number of attempts in flight on one connection
   * @param maxIdleNanos how long an unused connection is kept open
   * @param connectTimeoutNanos how long connecting may take, in the event loop's active time
   */
  public record Limits(
      int maxConnectionsPerServer,
      int maxConnections,
      int maxInFlightPerConnection,
      long maxIdleNanos,
      long connectTimeoutNanos) {}

  /** Bounds the connections opened on behalf of {@link #replacesConnection}. */
  private static final long REPLACEMENT_INTERVAL_NANOS = 2_000_000_000L;

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final Limits limits;
  private final ConnectionBudget budget;
  private final SendQueues sendQueues;
  private final MemoryBudget replyBudget;
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final ServerEndpoint endpoint;
  private final ConnectionLimit connectionLimit;
  private final StaleConnectionEstimator staleConnections = new StaleConnectionEstimator();

  /** Established connections, oldest first. */
  private final List<ServerConnection> connections = new ArrayList<>();

  /** Attempts that wait for a connection, oldest first. */
  private final ArrayDeque<Attempt> queue = new ArrayDeque<>();

  private int connectingCount;

  /** When a connection was last opened to replace one whose rejections are ambiguous. */
  private long replacedAtNanos;

  /** The number of calls of {@link #drain}, to detect a call while a connection is opened. */
  private int drainCount;

  ServerPool(
      Bootstrap bootstrap,
      ServerCodec codec,
      Limits limits,
      ConnectionBudget budget,
      SendQueues sendQueues,
      MemoryBudget replyBudget,
      Dispatcher dispatcher,
      SocketAddress address) {
    this.bootstrap = bootstrap;
    this.codec = codec;
    this.limits = limits;
    this.budget = budget;
    this.sendQueues = sendQueues;
    this.replyBudget = replyBudget;
    this.dispatcher = dispatcher;
    this.clock = dispatcher.clock();
    this.endpoint = new ServerEndpoint(clock, address);
    this.replacedAtNanos = clock.refresh() - REPLACEMENT_INTERVAL_NANOS;
    this.connectionLimit = new ConnectionLimit(clock, budget, limits.maxConnectionsPerServer());
  }

  /** Applies the server's latest entry, and drains connections to an earlier address or process. */
  void update(SocketAddress address, ServerEntry entry, double nowSeconds) {
    ServerEndpoint.ObsoleteConnections obsolete = endpoint.update(address, entry, nowSeconds);
    for (ServerConnection connection : List.copyOf(connections)) {
      if (obsolete.includesOpenedAt(connection.openedAtNanos())) {
        connection.drain();
      }
    }
  }

  /**
   * Called when the server was removed or excluded. Fails queued attempts; attempts in flight
   * continue. Connections that are open or being opened get no further attempts.
   */
  void drain() {
    drainCount++;
    failQueued();
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.drain();
    }
  }

  /**
   * Fails the queued attempts if the server is draining or has changed its cell. The policy decided
   * on them before this was known. A connection may become available as late as their deadline,
   * when the grace has passed, or in a cell that does not drop duplicates of their writes.
   */
  void failUnroutable() {
    boolean hasChangedCell = endpoint.takeCellChange();
    if (endpoint.isDraining() || hasChangedCell) {
      failQueued();
    }
  }

  /** Whether the server has been draining for longer than the grace. */
  boolean isDrainingPastGrace(long now) {
    return endpoint.isDrainingPast(dispatcher.drainGraceNanos(), now);
  }

  private void failQueued() {
    for (Attempt attempt = queue.poll(); attempt != null; attempt = queue.poll()) {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    }
  }

  /**
   * Writes an attempt to a free connection, preferring the most recently used one so that others
   * become idle. If none is free, opens another connection; at the limit, writes to the connection
   * with the fewest attempts in flight.
   */
  void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    ServerConnection bestConnection = bestConnection(attempt);
    if (bestConnection != null && bestConnection.load() == 0) {
      if (replacesConnection(bestConnection, attempt)) {
        queue.add(attempt);
        connect(bestConnection);
      } else {
        bestConnection.write(attempt);
      }
      return;
    }
    int usableOrConnectingCount = usableConnections() + connectingCount;
    if (usableOrConnectingCount < connectionLimit.currentLimit()
        && (usableOrConnectingCount == 0 || budget.hasCapacity())) {
      queue.add(attempt);
      if (connectingCount < queue.size()) {
        connect(null);
      }
    } else if (bestConnection != null) {
      bestConnection.write(attempt);
    } else {
      queue.add(attempt);
      connectIfNoneIsUsable();
    }
  }

  /**
   * Whether a new connection is opened for an attempt though another one is idle: a rejection on
   * the idle one would be no proof that the attempt has not run.
   */
  private boolean replacesConnection(ServerConnection idleConnection, Attempt attempt) {
    long now = clock.refresh();
    boolean mayReplace =
        attempt.needsProofOfRejection()
            && idleConnection.isRejectionAmbiguous()
            && now - replacedAtNanos >= REPLACEMENT_INTERVAL_NANOS
            && attempt.deadlineNanos() - now > 2 * limits.connectTimeoutNanos()
            && usableConnections() + connectingCount < connectionLimit.currentLimit()
            && budget.hasCapacity();
    if (mayReplace) {
      replacedAtNanos = now;
    }
    return mayReplace;
  }

  /** The memory for replies that are received in part. */
  MemoryBudget replyBudget() {
    return replyBudget;
  }

  /** Removes an attempt that waits for a connection. */
  void withdraw(Attempt attempt) {
    queue.remove(attempt);
  }

  private void drainLikelyStale() {
    long now = clock.refresh();
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()
          && staleConnections.isLikelyStale(now - connection.usedAtNanos(), now)) {
        connection.drain();
      }
    }
  }

  /** The preferred connection for an attempt, null if none can be written to. */
  private ServerConnection bestConnection(Attempt attempt) {
    drainLikelyStale();
    ServerConnection bestConnection = null;
    for (ServerConnection connection : connections) {
      if (connection.load() < limits.maxInFlightPerConnection()
          && isPreferred(attempt, connection, bestConnection)) {
        bestConnection = connection;
      }
    }
    return bestConnection;
  }

  /**
   * Whether the candidate is preferred: it has fewer attempts in flight, or was used more recently.
   * Attempts that need proof of a rejection avoid connections that cannot give it; others use them
   * first, since a no-op in front of them confirms earlier rejections. Connections whose first
   * request is in flight come last: if the server rejects such a connection, it is not known
   * whether a second request on it ran.
   */
  private static boolean isPreferred(
      Attempt attempt, ServerConnection candidate, ServerConnection bestConnection) {
    if (bestConnection == null) {
      return true;
    }
    if (candidate.isUnproven() != bestConnection.isUnproven()) {
      return bestConnection.isUnproven();
    }
    if (candidate.load() != bestConnection.load()) {
      return candidate.load() < bestConnection.load();
    }
    if (candidate.isRejectionAmbiguous() != bestConnection.isRejectionAmbiguous()) {
      return candidate.isRejectionAmbiguous() != attempt.needsProofOfRejection();
    }
    if (candidate.hasAwaitedAttemptInDoubt() != bestConnection.hasAwaitedAttemptInDoubt()) {
      return candidate.hasAwaitedAttemptInDoubt();
    }
    return candidate.usedAtNanos() - bestConnection.usedAtNanos() > 0;
  }

  private boolean hasConnectionWithCapacity() {
    for (ServerConnection connection : connections) {
      if (connection.load() < limits.maxInFlightPerConnection()) {
        return true;
      }
    }
    return false;
  }

  /** The number of connections that are not draining. */
  private int usableConnections() {
    int usableCount = 0;
    for (ServerConnection connection : connections) {
      usableCount += connection.isDraining() ? 0 : 1;
    }
    return usableCount;
  }

  /** Whether a connection other than the given one is usable. */
  boolean hasOtherUsable(ServerConnection connection) {
    return usableConnections() > (connection.isDraining() ? 0 : 1);
  }

  private void connectIfNoneIsUsable() {
    if (usableConnections() == 0 && connectingCount == 0) {
      connect(null);
    }
  }

  /**
   * Opens a connection.
   *
   * @param replaced an idle connection to close once the new one is established, null for none
   */
  private void connect(ServerConnection replaced) {
    connectingCount++;
    budget.acquire();
    long startedAtNanos = clock.refresh();
    int drainCountBefore = drainCount;
    SocketAddress address = endpoint.address();
    ServerConnection connection =
        new ServerConnection(
            this, codec, dispatcher, new DeliveryTracker(sendQueues, dispatcher.timers(), clock));
    ChannelFuture future = connection.open(bootstrap, address);
    dispatcher.timers().limitConnectTime(future, limits.connectTimeoutNanos());
    ConnectCompletion.runWhenDone(
        future,
        dispatcher.loop(),
        done -> {
          connectingCount--;
          if (done.isSuccess()) {
            boolean isCurrent =
                drainCountBefore == drainCount && address.equals(endpoint.address());
            connected(connection, isCurrent);
            closeReplaced(replaced);
          } else {
            budget.release();
            // Only the time-out closes a channel that is not established yet.
            connectFailed(startedAtNanos, done.cause() instanceof ClosedChannelException);
          }
        });
  }

  /**
   * Adds a connection that was established.
   *
   * @param isCurrent whether the server has neither moved nor been removed meanwhile
   */
  private void connected(ServerConnection connection, boolean isCurrent) {
    connections.add(connection);
    if (isCurrent) {
      connectionAvailable(connection);
    } else {
      connection.drain();
    }
  }

  private static void closeReplaced(ServerConnection replaced) {
    if (replaced != null && replaced.isIdle()) {
      replaced.drain();
    }
  }

  /**
   * Handles a connection that was not established. If other connections are usable, the failure is
   * taken for the server's connection limit: queued attempts are written to the other connections,
   * since failed attempts would signal to the policy that the server is down. However, a time-out
   * while the other connections are silent shows that the machine is unreachable.
   */
  private void connectFailed(long startedAtNanos, boolean hasTimedOut) {
    if (hasTimedOut) {
      drainIfSilentSince(startedAtNanos);
    }
    drainLikelyStale();
    boolean hasUsableConnection = hasConnectionWithCapacity();
    if (hasUsableConnection) {
      connectionLimit.connectFailed(usableConnections());
    } else if (connectingCount > 0) {
      return;
    }
    for (Attempt attempt : takeQueue()) {
      ServerConnection bestConnection = bestConnection(attempt);
      if (attempt.isEnded()) {
        // The handling of an earlier attempt can end this attempt, see the class comment.
        continue;
      }
      if (bestConnection != null) {
        bestConnection.write(attempt);
      } else if (hasUsableConnection) {
        send(attempt);
      } else {
        dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
      }
    }
  }

  /**
   * Handles a new connection that the server has closed for lack of capacity. The first attempt on
   * it has not run: it is written again to an open connection if its request has an attempt left,
   * since the server is busy, not faulty.
   */
  void connectionRejected(Attempt attempt) {
    connectionLimit.connectionRejected(usableConnections());
    // Opens no connection for the attempt, since the server may be excluded by now.
    ServerConnection bestConnection = endpoint.isDraining() ? null : bestConnection(attempt);
    if (bestConnection != null && !attempt.isEnded() && dispatcher.prepareRewrite(attempt)) {
      bestConnection.write(attempt);
    } else {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECTION_LIMIT_REACHED);
    }
  }

  /** Writes queued attempts, oldest first, to a connection that has become available. */
  void connectionAvailable(ServerConnection connection) {
    while (connection.load() == 0 && !queue.isEmpty()) {
      connection.write(queue.poll());
    }
    if (connectingCount == 0 && !queue.isEmpty()) {
      takeQueue().forEach(this::send);
    }
  }

  /** Empties the queue into a list, so that a loop over it ends if attempts are queued again. */
  private List<Attempt> takeQueue() {
    List<Attempt> takenAttempts = new ArrayList<>(queue);
    queue.clear();
    return takenAttempts;
  }

  /** Records whether the connection broke or replied to a request after this idle period. */
  void idlePeriodEnded(long idleNanos, boolean isBroken) {
    staleConnections.record(idleNanos, isBroken, clock.refresh());
  }

  /** Removes an established connection that was closed. */
  void connectionClosed(ServerConnection connection) {
    connections.remove(connection);
    budget.release();
    if (!queue.isEmpty()) {
      connectIfNoneIsUsable();
    }
  }

  /**
   * Drains all connections if none has received bytes since the given time, though a reply was due.
   * Connections to a machine that is unreachable stay open and silent: after the drain, the next
   * attempt opens a new connection and detects the failure within the connect time-out.
   */
  void drainIfSilentSince(long sinceNanos) {
    for (ServerConnection connection : connections) {
      if (connection.receivedAtNanos() - sinceNanos > 0) {
        return;
      }
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.drain();
    }
  }

  /** Closes connections on which a reply has begun but makes no progress. */
  void closeStalled() {
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.closeIfStalled();
    }
  }

  /** Closes idle connections beyond this process's share, the least recently used first. */
  void closeSurplus() {
    int surplus = usableConnections() - connectionLimit.share();
    while (surplus-- > 0) {
      ServerConnection oldestConnection = leastRecentlyUsedIdle();
      if (oldestConnection == null) {
        return;
      }
      oldestConnection.drain();
    }
  }

  private ServerConnection leastRecentlyUsedIdle() {
    ServerConnection oldestConnection = null;
    for (ServerConnection connection : connections) {
      if (connection.isIdle()
          && (oldestConnection == null
              || connection.usedAtNanos() - oldestConnection.usedAtNanos() < 0)) {
        oldestConnection = connection;
      }
    }
    return oldestConnection;
  }

  /** Closes all idle connections. */
  void closeIdle() {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle()) {
        connection.drain();
      }
    }
  }

  /** Closes idle connections that were not used since the given time, by the loop's clock. */
  void closeIdleSince(long sinceNanos) {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.isIdle() && connection.usedAtNanos() - sinceNanos < 0) {
        connection.drain();
      }
    }
  }
}
