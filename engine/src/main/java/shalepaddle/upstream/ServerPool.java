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
import shalepaddle.model.Settings;
import shalepaddle.sockets.ConnectCompletion;

/** This node's connections to one cache server. */
public final class ServerPool {
  /** How long after a server turned a connection down one more is tried again. */
  private static final long CAPPED_NANOS = 2_000_000_000L;

  /**
   * The same where the server said so in words: nothing is lost by it, and its places may be held
   * by a process that is about to end.
   */
  private static final long TURNED_DOWN_NANOS = 250_000_000L;

  /**
   * What bounds the connections to each server.
   *
   * @param connections how many this node opens at most
   * @param total how many it opens to all servers together, but for the first to each
   * @param depth how many attempts may be under way on one
   * @param idleNanos how long one is kept that is not in use
   * @param connectNanos how long one may take to come up, while the event loop listens
   */
  public record Limits(int connections, int total, int depth, long idleNanos, long connectNanos) {}

  private final Bootstrap bootstrap;
  private final ServerCodec codec;
  private final Limits limits;
  private final ConnectionBudget budget;
  private final Dispatcher dispatcher;
  private final List<ServerConnection> connections = new ArrayList<>();
  private final LoopClock clock;
  private final ArrayDeque<Attempt> waiting = new ArrayDeque<>();
  private final StaleConnectionEstimator idleRisk = new StaleConnectionEstimator();
  private SocketAddress address;
  private int connecting;
  private int cap;
  private long cappedAt;
  private long cappedNanos = CAPPED_NANOS;

  /** How often it was vacated: what was on its way then is not used. */
  private int vacations;

  /** What the list said of the server last, null before that. */
  private ServerEntry entry;

  /** When the list told of it last. */
  private long listedAt;

  /** Since when the list says that the server wants nothing new, where it does. */
  private long drainingSince;

  /** Whether it has come into another group, and what was decided for the old one still waits. */
  private boolean regrouped;

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
    this.address = address;
    this.cap = limits.connections();
  }

  /**
   * The list has the server here. Connections to another address, or older than the process, lead
   * nowhere: they are not used again.
   */
  void listed(SocketAddress at, ServerEntry news, double now) {
    boolean moved = !at.equals(address);
    regrouped |= entry != null && !Settings.DeduplicationScope.CELL.spans(entry, news);
    if (news.state() != ServerEntry.State.READY && !leaving()) {
      drainingSince = clock.now();
    }
    boolean restarted =
        entry != null
            && news.startedAtSeconds() > 0
            && news.startedAtSeconds() != entry.startedAtSeconds();
    long started = restarted ? startOf(news, now) : 0;
    entry = news;
    address = at;
    listedAt = clock.now();
    for (ServerConnection connection : List.copyOf(connections)) {
      if (moved || (restarted && connection.openedAt() - started < 0)) {
        connection.retire();
      }
    }
  }

  /**
   * When a start was that the list has just told: by this machine's clock, which may be off from
   * the list's, but not before the list was heard last, nor later than now.
   */
  private long startOf(ServerEntry news, double now) {
    long at = clock.refresh();
    double age = Math.min((at - listedAt) / 1e9, Math.max(0, now - news.startedAtSeconds()));
    return at - (long) (age * 1e9);
  }

  /**
   * The server has left, or is left out: what waits goes back, what is under way may end, and no
   * connection that is there or on its way gets anything new.
   */
  void vacate() {
    vacations++;
    handBack();
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.retire();
    }
  }

  /**
   * What waits goes back if the server is to leave, or is in another group now. Guards against what
   * was decided on before that was known, and would go out after the grace, or where its repeats
   * are not dropped: a place may come free as late as its time is up.
   */
  void handBackUnfit() {
    if (leaving() || regrouped) {
      regrouped = false;
      handBack();
    }
  }

  /** Whether the list says that the server wants nothing new. */
  private boolean leaving() {
    return entry != null && entry.state() != ServerEntry.State.READY;
  }

  /** Whether the list has said for longer than the grace that the server wants nothing new. */
  boolean drainingPastGrace(long now) {
    return leaving() && now - drainingSince > dispatcher.drainGraceNanos();
  }

  private void handBack() {
    for (Attempt attempt = waiting.poll(); attempt != null; attempt = waiting.poll()) {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    }
  }

  /**
   * Writes an attempt to a free connection, the one used last so that others fall idle; where there
   * is none, opens one more; at the limit, writes it behind the fewest others.
   */
  void send(Attempt attempt) {
    if (attempt.isEnded()) {
      return;
    }
    ServerConnection best = best();
    if (best != null && best.load() == 0) {
      best.write(attempt);
      return;
    }
    int held = live() + connecting;
    if (held < cap() && (held == 0 || budget.hasRoom())) {
      waiting.add(attempt);
      if (connecting < waiting.size()) {
        connect();
      }
    } else if (best != null) {
      best.write(attempt);
    } else {
      waiting.add(attempt);
      if (live() == 0 && connecting == 0) {
        connect();
      }
    }
  }

  /** The connection that an attempt is best written to now; null if there is none for it. */
  private ServerConnection best() {
    ServerConnection best = null;
    long now = clock.refresh();
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0 && idleRisk.tooLong(now - connection.usedAt(), now)) {
        connection.retire();
      }
      if (connection.load() < limits.depth() && connection.preferredTo(best)) {
        best = connection;
      }
    }
    return best;
  }

  /**
   * How many connections the server takes, as far as is known: one fewer for each that it turned
   * down, and one more for a while without. Guards against a network that breaks new connections
   * now and then: taken for the server's limit, a few of those would put all requests on one
   * connection, where they wait for one another and a single reset ends them all. Where the limit
   * is real, a connection is turned down every so often for nothing.
   */
  private int cap() {
    while (cap < limits.connections() && clock.refresh() - cappedAt > cappedNanos) {
      cap++;
      cappedAt += cappedNanos;
    }
    return Math.min(cap, budget.part(limits.connections()));
  }

  private void capped(int connections, long nanos) {
    cap = connections;
    cappedAt = clock.refresh();
    cappedNanos = nanos;
  }

  void forget(Attempt attempt) {
    waiting.remove(attempt);
  }

  private void connect() {
    connecting++;
    budget.take();
    long began = clock.refresh();
    int vacated = vacations;
    SocketAddress at = address;
    ServerConnection connection = new ServerConnection(this, codec, dispatcher);
    ChannelFuture future = connection.open(bootstrap, address);
    dispatcher.timers().limitConnect(future, limits.connectNanos());
    ConnectCompletion.whenDone(
        future,
        dispatcher.loop(),
        done -> {
          connecting--;
          if (done.isSuccess()) {
            connections.add(connection);
            if (vacated != vacations || !at.equals(address)) {
              // Guards against a connection that came up after the list had moved its server, or
              // dropped it: nobody would ever close it.
              connection.retire();
            } else {
              free(connection);
            }
          } else {
            budget.release();
            // Nobody else closes a connection that has not come up.
            connectFailed(began, done.cause() instanceof ClosedChannelException);
          }
        });
  }

  /**
   * No connection came up. One that was turned down while others work shows the server's limit:
   * what waited goes on those, since a failure would tell the module that the server is down. But a
   * connection that times out beside silent ones shows a machine that has vanished.
   */
  private void connectFailed(long began, boolean silent) {
    if (silent) {
      suspectSilence(began);
    }
    boolean usable = best() != null;
    if (usable) {
      capped(Math.max(Math.max(1, live()), cap() - 1), CAPPED_NANOS);
    } else if (connecting > 0) {
      return;
    }
    List<Attempt> stranded = new ArrayList<>(waiting);
    waiting.clear();
    for (Attempt attempt : stranded) {
      ServerConnection best = best();
      if (attempt.isEnded()) {
        // The end of one before it has ended it.
        continue;
      }
      if (best != null) {
        best.write(attempt);
      } else if (usable) {
        send(attempt);
      } else {
        dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
      }
    }
  }

  /** Whether another connection than this may be used again. */
  boolean holdsOthers(ServerConnection connection) {
    return live() > (connection.retiring() ? 0 : 1);
  }

  /**
   * The server has no place for one more connection, and has ended a new one on which this attempt
   * was first. It has not run; it goes on a connection that is there, as one more of those that the
   * request may have, and no more are opened for a while. Guards against taking a server that has
   * no place for one that is sick, or whose origin is.
   */
  void turnedDown(Attempt attempt) {
    capped(Math.max(1, Math.min(cap(), live())), TURNED_DOWN_NANOS);
    // Never on one that it would have to open: the server may be left out by now.
    ServerConnection best = leaving() ? null : best();
    if (best != null && !attempt.isEnded() && dispatcher.mayRewrite(attempt)) {
      best.write(attempt);
    } else {
      dispatcher.attemptEnded(attempt, Outcome.Result.CONNECTION_LIMIT_REACHED);
    }
  }

  /** Connections that may be used again; the others only see out what is under way on them. */
  private int live() {
    int live = 0;
    for (ServerConnection connection : connections) {
      live += connection.retiring() ? 0 : 1;
    }
    return live;
  }

  /** A connection may be used again: what waits longest may have it. */
  void free(ServerConnection connection) {
    while (connection.load() == 0 && !waiting.isEmpty()) {
      connection.write(waiting.poll());
    }
    if (connecting == 0 && !waiting.isEmpty()) {
      sendAgain();
    }
  }

  /** Guards against an endless loop: what is sent may come to wait again. */
  private void sendAgain() {
    List<Attempt> stranded = new ArrayList<>(waiting);
    waiting.clear();
    stranded.forEach(this::send);
  }

  /** A request was written after this pause, and its connection broke or brought an answer. */
  void rested(long pause, boolean broke) {
    idleRisk.seen(pause, broke, clock.refresh());
  }

  /** A connection is closed. */
  void closed(ServerConnection connection) {
    connections.remove(connection);
    budget.release();
    if (live() == 0 && connecting == 0 && !waiting.isEmpty()) {
      connect();
    }
  }

  /**
   * Nothing has come from this server since the given time, though an answer was due. Guards
   * against a machine that vanished, whose connections stay open and silent: none of those is used
   * again, so that the next attempt opens one and learns the truth within the connect time-out.
   */
  void suspectSilence(long since) {
    for (ServerConnection connection : connections) {
      if (connection.heardAt() - since > 0) {
        return;
      }
    }
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.retire();
    }
  }

  /** Closes connections on which a reply began and does not go on. */
  void closeStalled() {
    for (ServerConnection connection : List.copyOf(connections)) {
      connection.closeIfStalled();
    }
  }

  /** Closes idle connections past this process's part, those first that were used last long ago. */
  void closeSurplus() {
    int surplus = live() - budget.part(limits.connections());
    while (surplus-- > 0) {
      ServerConnection oldest = null;
      for (ServerConnection connection : connections) {
        if (connection.load() == 0
            && (oldest == null || connection.usedAt() - oldest.usedAt() < 0)) {
          oldest = connection;
        }
      }
      if (oldest == null) {
        return;
      }
      oldest.retire();
    }
  }

  /** Closes connections not used since the given time, all idle ones for 0. */
  void closeIdle(long before) {
    for (ServerConnection connection : List.copyOf(connections)) {
      if (connection.load() == 0 && (before == 0 || connection.usedAt() - before < 0)) {
        connection.retire();
      }
    }
  }
}
