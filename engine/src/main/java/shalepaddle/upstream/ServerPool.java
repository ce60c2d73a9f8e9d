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
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.sockets.ConnectCompletion;

/**
 * This process's connections to one cache server, and the attempts that wait for one. All of it
 * runs on the event loop; {@link Dispatcher} calls may lead back here before they return.
 */
public final class ServerPool {
  /**
   * What bounds the connections to each server.
   *
   * @param maxPerServer connections that the node opens to one server at most
   * @param maxTotal connections to all servers together, except for the first to each
   * @param maxInFlight attempts that may be in flight on one connection
   * @param maxIdleNanos how long an unused connection is kept
   * @param connectTimeoutNanos how long one may take to come up, in the event loop's active time
   */
  public record Limits(
      int maxPerServer,
      int maxTotal,
      int maxInFlight,
      long maxIdleNanos,
      long connectTimeoutNanos) {}

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final Limits limits;
  private final ConnectionBudget budget;
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final ServerEndpoint endpoint;
  private final ConnectionLimit connectionLimit;
  private final StaleConnectionEstimator staleConnections = new StaleConnectionEstimator();

  /** Connections that came up and have not closed, oldest first. */
  private final List<ServerConnection> connections = new ArrayList<>();

  /** Attempts without a connection, oldest first. */
  private final ArrayDeque<Attempt> queue = new ArrayDeque<>();

  private int connecting;

  /** Calls of {@link #drain}: shows whether one came while a connection was being opened. */
  private int drains;

  ServerPool(
      Bootstrap bootstrap,
      ServerCodec codec,
      Limits limits,
      ConnectionBudget budget,
      Dispatcher dispatcher,
      SocketAddress address) {
    this.bootstrap = bootstrap;
    this.codec = codec;
    this.limits = limits;
    this.budget = budget;
    this.dispatcher = dispatcher;
    this.clock = dispatcher.clock();
    this.endpoint = new ServerEndpoint(clock, address);
    this.connectionLimit = new ConnectionLimit(clock, budget, limits.maxPerServer());
  }

  /** Takes the server's latest entry; drains connections to an earlier address or process. */
  void update(SocketAddress address, ServerEntry entry, double nowSeconds) {
    ServerEndpoint.Obsolete obsolete = endpoint.update(address, entry, nowSeconds);
    for (ServerConnection connection : List.copyOf(connections)) {
      if (obsolete.contains(connection.openedAtNanos())) {
        connection.drain();
      }
    }
  }

  /**
   * The server was removed or excluded: queued attempts fail, those in flight may end, and no
   * connection that is open or being opened gets another.
   */
  void drain() {
    drains++;
    failQueued();
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.drain();
    }
  }

  /**
   * Fails the queued attempts if the server is draining, or has changed its cell since. They were
   * decided on before that was known, and a connection may become available as late as their
   * deadline: past the drain's grace, or in a cell that does not drop their duplicates.
   */
  void failUnroutable() {
    boolean hasChangedCell = endpoint.takeCellChange();
    if (endpoint.isDraining() || hasChangedCell) {
      failQueued();
    }
  }

  /** Whether the list has said for longer than the grace that the server is draining. */
  boolean isDrainingPastGrace(long now) {
    return endpoint.isDrainingPast(dispatcher.drainGraceNanos(), now);
  }

  private void failQueued() {
    for (Attempt attempt = queue.poll(); attempt != null; attempt = queue.poll()) {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    }
  }

  /**
   * Writes an attempt to a free connection, the most recently used one so that others become idle;
   * if none is free, opens one more; at the limit, writes it behind the fewest others.
   */
  void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    ServerConnection best = bestConnection();
    if (best != null && best.load() == 0) {
      best.write(attempt);
      return;
    }
    int usableOrConnecting = usableConnections() + connecting;
    if (usableOrConnecting < connectionLimit.current()
        && (usableOrConnecting == 0 || budget.hasCapacity())) {
      queue.add(attempt);
      if (connecting < queue.size()) {
        connect();
      }
    } else if (best != null) {
      best.write(attempt);
    } else {
      queue.add(attempt);
      connectIfNoneIsUsable();
    }
  }

  /** An attempt that waits for a connection is withdrawn. */
  void withdraw(Attempt attempt) {
    queue.remove(attempt);
  }

  /** The connection that an attempt is best written to now, null if there is none for it. */
  private ServerConnection bestConnection() {
    ServerConnection best = null;
    long now = clock.refresh();
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0
          && staleConnections.isLikelyStale(now - connection.usedAtNanos(), now)) {
        connection.drain();
      }
      if (connection.load() < limits.maxInFlight() && isPreferred(connection, best)) {
        best = connection;
      }
    }
    return best;
  }

  /**
   * Whether an attempt is better written to the candidate: fewer in flight, or used more recently.
   * Connections whose first request is in flight come last: if the server rejects such a
   * connection, it is not known whether a second request on it ran.
   */
  private static boolean isPreferred(ServerConnection candidate, ServerConnection best) {
    if (best == null) {
      return true;
    }
    if (candidate.isUnproven() != best.isUnproven()) {
      return best.isUnproven();
    }
    return candidate.load() < best.load()
        || (candidate.load() == best.load() && candidate.usedAtNanos() - best.usedAtNanos() > 0);
  }

  /** Connections that are not draining. */
  private int usableConnections() {
    int usable = 0;
    for (ServerConnection connection : connections) {
      usable += connection.isDraining() ? 0 : 1;
    }
    return usable;
  }

  /** Whether there is a usable connection other than this. */
  boolean hasOtherUsable(ServerConnection connection) {
    return usableConnections() > (connection.isDraining() ? 0 : 1);
  }

  private void connectIfNoneIsUsable() {
    if (usableConnections() == 0 && connecting == 0) {
      connect();
    }
  }

  private void connect() {
    connecting++;
    budget.take();
    long startedAtNanos = clock.refresh();
    int drainsBefore = drains;
    SocketAddress address = endpoint.address();
    ServerConnection connection = new ServerConnection(this, codec, dispatcher);
    ChannelFuture future = connection.open(bootstrap, address);
    dispatcher.timers().limitConnect(future, limits.connectTimeoutNanos());
    ConnectCompletion.whenDone(
        future,
        dispatcher.loop(),
        done -> {
          connecting--;
          if (done.isSuccess()) {
            boolean isCurrent = drainsBefore == drains && address.equals(endpoint.address());
            connected(connection, isCurrent);
          } else {
            budget.release();
            // A time-out closes the channel; nothing else closes one that has not come up.
            connectFailed(startedAtNanos, done.cause() instanceof ClosedChannelException);
          }
        });
  }

  /**
   * A connection came up.
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

  /**
   * A connection did not come up. If others are usable, that shows the server's limit: queued
   * attempts go on those, since a failure would tell the policy that the server is down. But a
   * time-out beside silent connections shows a machine that has vanished.
   */
  private void connectFailed(long startedAtNanos, boolean hasTimedOut) {
    if (hasTimedOut) {
      suspectSilence(startedAtNanos);
    }
    boolean hasUsable = bestConnection() != null;
    if (hasUsable) {
      connectionLimit.connectFailed(usableConnections());
    } else if (connecting > 0) {
      return;
    }
    for (Attempt attempt : takeQueue()) {
      ServerConnection best = bestConnection();
      if (attempt.isEnded()) {
        // Completing an earlier one can end it, see the class comment.
        continue;
      }
      if (best != null) {
        best.write(attempt);
      } else if (hasUsable) {
        send(attempt);
      } else {
        dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
      }
    }
  }

  /**
   * The server has no capacity for one more connection, and has closed a new one on which this
   * attempt was first. The attempt has not run. It is written once more to a connection that is
   * open, within the attempts that its request may have: the server is busy, not faulty.
   */
  void connectionRejected(Attempt attempt) {
    connectionLimit.connectionRejected(usableConnections());
    // No connection is opened for it: the server may be excluded by now.
    ServerConnection best = endpoint.isDraining() ? null : bestConnection();
    if (best != null && !attempt.isEnded() && dispatcher.mayRewrite(attempt)) {
      best.write(attempt);
    } else {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECTION_LIMIT_REACHED);
    }
  }

  /** A connection can be used: it gets the attempts that have waited longest. */
  void connectionAvailable(ServerConnection connection) {
    while (connection.load() == 0 && !queue.isEmpty()) {
      connection.write(queue.poll());
    }
    if (connecting == 0 && !queue.isEmpty()) {
      takeQueue().forEach(this::send);
    }
  }

  /** Empties the queue into a list, so that a loop over it ends if attempts are queued again. */
  private List<Attempt> takeQueue() {
    List<Attempt> taken = new ArrayList<>(queue);
    queue.clear();
    return taken;
  }

  /** A request was written after this idle period; its connection then broke or replied. */
  void idlePeriodEnded(long idleNanos, boolean broke) {
    staleConnections.record(idleNanos, broke, clock.refresh());
  }

  /** A connection that had come up is closed. */
  void connectionClosed(ServerConnection connection) {
    connections.remove(connection);
    budget.release();
    if (!queue.isEmpty()) {
      connectIfNoneIsUsable();
    }
  }

  /**
   * Drains all connections if none has received anything since the given time, though a reply was
   * due. The connections of a machine that vanished stay open and silent: the next attempt opens a
   * new one and learns of it within the connect time-out.
   */
  void suspectSilence(long sinceNanos) {
    for (ServerConnection connection : connections) {
      if (connection.receivedAtNanos() - sinceNanos > 0) {
        return;
      }
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.drain();
    }
  }

  /** Closes connections on which a reply began and does not go on. */
  void closeStalled() {
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.closeIfStalled();
    }
  }

  /** Closes idle connections past this process's share, the least recently used first. */
  void closeSurplus() {
    int surplus = usableConnections() - connectionLimit.share();
    while (surplus-- > 0) {
      ServerConnection oldest = leastRecentlyUsedIdle();
      if (oldest == null) {
        return;
      }
      oldest.drain();
    }
  }

  private ServerConnection leastRecentlyUsedIdle() {
    ServerConnection oldest = null;
    for (ServerConnection connection : connections) {
      if (connection.load() == 0
          && (oldest == null || connection.usedAtNanos() - oldest.usedAtNanos() < 0)) {
        oldest = connection;
      }
    }
    return oldest;
  }

  /** Closes all idle connections. */
  void closeIdle() {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0) {
        connection.drain();
      }
    }
  }

  /** Closes connections that were not used since the given time, by the loop's clock. */
  void closeIdleSince(long nanos) {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0 && connection.usedAtNanos() - nanos < 0) {
        connection.drain();
      }
    }
  }
}
