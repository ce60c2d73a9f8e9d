package beamspread.node;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * All connections of clients, by what is due on each: how many there may be, which are closed in
 * time, and which give way to new ones.
 *
 * <p>Guards against every kind of client that takes a connection and makes no use of it: silent
 * ones, halves of commands, connections kept for good. It also bounds what a flood of connections
 * costs. It could do harm where clients connect long before they ask, which the protocol's clients
 * do not.
 */
final class ClientConnections {
  /** What is due on a connection. */
  enum Standing {
    /** It has not asked for anything: its first request has not begun. */
    UNUSED,
    /** A command has begun, and no answer is owed. */
    MIDWAY,
    /** Nothing, between two requests. */
    IDLE,
    /** An answer is owed. */
    OWED,
    /** Nothing more is taken from it; the last answers are on their way. */
    CLOSING
  }

  /** How long a client may take for its first command, or over any command: it is owed 2 s. */
  private static final long MAX_COMMAND_NANOS = 2_100_000_000L;

  /** How long a connection is kept between requests; a client may be made to open another. */
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;

  /** How long the last answers on a connection may take to go out. */
  private static final long MAX_CLOSING_NANOS = 1_000_000_000L;

  /** A connection between requests gives way where others crowd in, from then. */
  private static final long PROMPT_NANOS = 300_000_000L;

  /** One that has asked for nothing does so from then: who connects to ask does so sooner. */
  private static final long HESITANT_NANOS = 50_000_000L;

  /** The part of all places for those; past it they give way first, in the order they came. */
  private static final double HESITANT = 0.25;

  /** The part of all places from which connections in use are so many that idle ones give way. */
  private static final double CROWDED = 0.5;

  /** The part from which they do so at once: clients may hold not many more. */
  private static final double FULL = 0.6;

  private final int limit;
  private final Map<Standing, LinkedHashMap<ClientHandler, Long>> open =
      new EnumMap<>(Standing.class);
  private boolean draining;
  private Runnable whenEmpty;

  /** At most so many connections at once. */
  ClientConnections(int limit) {
    this.limit = limit;
    for (Standing standing : Standing.values()) {
      open.put(standing, new LinkedHashMap<>());
    }
  }

  /** Makes room for one more connection; false if every other is owed an answer. */
  boolean admit(long now) {
    if (size() < limit) {
      return true;
    }
    boolean flood = open.get(Standing.UNUSED).size() > HESITANT * limit;
    ClientHandler spared = longest(Standing.MIDWAY, now - PROMPT_NANOS);
    spared = spared == null ? longest(Standing.UNUSED, flood ? now : now - HESITANT_NANOS) : spared;
    spared = spared == null ? longest(Standing.IDLE, now - PROMPT_NANOS) : spared;
    spared = spared == null ? longest(Standing.UNUSED, now) : spared;
    if (spared != null) {
      spared.close();
    }
    return spared != null;
  }

  /** The connection that has stood so for longest, null if none has since the given time. */
  private ClientHandler longest(Standing standing, long before) {
    var first = open.get(standing).entrySet().iterator();
    if (first.hasNext()) {
      var entry = first.next();
      return entry.getValue() - before <= 0 ? entry.getKey() : null;
    }
    return null;
  }

  /** A connection is open, or what is due on it has changed. */
  void moved(ClientHandler client, Standing from, Standing to) {
    if (from != null) {
      open.get(from).remove(client);
    }
    long now = System.nanoTime();
    open.get(to).put(client, now);
    if (to == Standing.OWED) {
      closeCrowding(now);
    }
    if (draining && to == Standing.IDLE) {
      client.close();
    }
  }

  void closed(ClientHandler client, Standing from) {
    open.get(from).remove(client);
    if (draining && size() == 0) {
      whenEmpty.run();
    }
  }

  int size() {
    int size = 0;
    for (var clients : open.values()) {
      size += clients.size();
    }
    return size;
  }

  /** Closes what has been of no use for too long. */
  void sweep(long now) {
    expired(Standing.UNUSED, now - MAX_COMMAND_NANOS).forEach(ClientHandler::close);
    expired(Standing.MIDWAY, now - MAX_COMMAND_NANOS).forEach(ClientHandler::close);
    expired(Standing.IDLE, now - MAX_IDLE_NANOS).forEach(ClientHandler::close);
    closeCrowding(now);
    expired(Standing.CLOSING, now - MAX_CLOSING_NANOS).forEach(ClientHandler::abort);
    for (ClientHandler client : expired(Standing.OWED, now)) {
      client.abortIfStalled(now);
    }
  }

  /**
   * Closes those idle longest while very many are in use, and sooner the more there are. Guards
   * against clients that ask once and keep the connection: where all may hold but so many, the
   * others find none to ask on. It also keeps places free for a rush. Does harm to clients that
   * come back after a pause: they have to connect anew.
   */
  private void closeCrowding(long now) {
    closeIdle(now - HESITANT_NANOS, FULL * limit);
    closeIdle(now - PROMPT_NANOS, CROWDED * limit);
  }

  /**
   * Closes those idle since then until no more than that are in use. One whose client has just gone
   * still stands among them: each is closed once, and not looked at again.
   */
  private void closeIdle(long before, double most) {
    double excess = open.get(Standing.IDLE).size() + open.get(Standing.OWED).size() - most;
    if (excess > 0) {
      expired(Standing.IDLE, before).stream()
          .limit((long) Math.ceil(excess))
          .forEach(ClientHandler::close);
    }
  }

  private List<ClientHandler> expired(Standing standing, long before) {
    List<ClientHandler> expired = new ArrayList<>();
    for (var entry : open.get(standing).entrySet()) {
      if (entry.getValue() - before > 0) {
        break;
      }
      expired.add(entry.getKey());
    }
    return expired;
  }

  /** From now on closes each connection as it falls idle; runs the step when none is left. */
  void drain(EventLoop loop, Runnable then) {
    draining = true;
    whenEmpty = then;
    if (size() == 0) {
      then.run();
    } else {
      closeNext(loop);
    }
  }

  /**
   * Closes idle connections one by one. Guards against requests that come while others are being
   * closed and would stay unread until their own connection is: between two closes the event loop
   * reads what has come.
   */
  private void closeNext(EventLoop loop) {
    Iterator<ClientHandler> first = open.get(Standing.IDLE).keySet().iterator();
    if (first.hasNext()) {
      first.next().close();
      loop.schedule(() -> closeNext(loop), 1, TimeUnit.MILLISECONDS);
    }
  }
}
