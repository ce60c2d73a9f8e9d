package shalepaddle.front;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.loop.LoopClock;

/**
 * All connections of clients, by what is due on each: how many there may be, which are closed in
 * time, and which give way to new ones.
 *
 * <p>Guards against every kind of client that takes a connection and makes no use of it: silent
 * ones, halves of commands, connections kept for good. It also bounds what a flood of connections
 * costs. It could do harm where clients connect long before they ask, which the protocol's clients
 * do not.
 *
 * <p>How long a connection has stood so is measured in time in which the event loop listened, and
 * none is ended between two requests while the kernel holds bytes of it: what a client sent while
 * the node stood still is a request, however long ago the node heard of it last.
 */
public final class ClientConnections {
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
    CLOSING,
    /** All is answered, and its client has been told to leave: its own end closes it. */
    LEAVING
  }

  /** How long a client may take for its first command, or over any command: it is owed 2 s. */
  private static final long MAX_COMMAND_NANOS = 2_100_000_000L;

  /** How long it may take over a command with a large value, as long as it goes on sending. */
  private static final long MAX_VALUE_NANOS = 30_000_000_000L;

  /** How long a connection is kept between requests; a client may be made to open another. */
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;

  /** How long the last answers on a connection may take to go out. */
  private static final long MAX_CLOSING_NANOS = 1_000_000_000L;

  /** How long a client may take to leave once it is told to. */
  private static final long MAX_LEAVING_NANOS = 250_000_000L;

  /** Steps, a millisecond each, in which a drain lets its idle clients go, about. */
  private static final int DRAIN_STEPS = 64;

  /** A connection between requests gives way where others crowd in, from then. */
  private static final long PROMPT_NANOS = 300_000_000L;

  /** One that is halfway through a command gives way once it has said nothing for so long. */
  private static final long SILENT_NANOS = 600_000_000L;

  /**
   * One that has asked for nothing does so from then, since who connects to ask does so sooner; any
   * other where nearly all places are taken.
   */
  private static final long HESITANT_NANOS = 50_000_000L;

  /** The part of all places for those; past it they give way first, in the order they came. */
  private static final double HESITANT = 0.25;

  /** The part of all places from which connections in use are so many that idle ones give way. */
  private static final double CROWDED = 0.5;

  /** The part from which they do so at once: clients may hold not many more. */
  private static final double FULL = 0.6;

  /** Connections looked at for one that can give way; those with bytes to read can not. */
  private static final int MAX_LOOKED_AT = 16;

  private int limit;
  private final LoopClock clock;
  private final Map<Standing, LinkedHashMap<ClientHandler, Long>> open =
      new EnumMap<>(Standing.class);
  private boolean shut;
  private boolean draining;
  private Runnable whenEmpty;
  private long named;

  /** At most so many connections at once. */
  public ClientConnections(int limit, LoopClock clock) {
    this.limit = limit;
    this.clock = clock;
    for (Standing standing : Standing.values()) {
      open.put(standing, new LinkedHashMap<>());
    }
  }

  /** A name for one more connection, new in this process. */
  String nextName() {
    return "c" + named++;
  }

  /** Holds so many at most from now on; those that are there stay. */
  public void setMaxConnections(int connections) {
    limit = Math.max(1, connections);
  }

  /** Makes room for one more connection; false if no other can give way. */
  public boolean admit() {
    if (connectionCount() < limit) {
      return true;
    }
    long now = clock.activeNanos();
    boolean flood = open.get(Standing.UNUSED).size() > HESITANT * limit;
    return endLongest(Standing.LEAVING, now)
        || endLongest(Standing.UNUSED, flood ? now : now - HESITANT_NANOS)
        || endLongest(Standing.IDLE, now - HESITANT_NANOS)
        || endSilent(now - SILENT_NANOS)
        || endLongest(Standing.UNUSED, now)
        || endSilent(now - HESITANT_NANOS);
  }

  /**
   * Ends the connection that has been silent for longest within a command, since the given time. A
   * client that takes its time over a command goes on sending; one that never ends it does not.
   */
  private boolean endSilent(long before) {
    ClientHandler silent = null;
    for (ClientHandler client : open.get(Standing.MIDWAY).keySet()) {
      if (silent == null || client.heardAt() - silent.heardAt() < 0) {
        silent = client;
      }
    }
    return silent != null
        && silent.heardAt() - before <= 0
        && silent.endQuietly(Event.CLOSE_CROWDED, true);
  }

  /** Ends the connection that has stood so for longest, since the given time; false if none can. */
  private boolean endLongest(Standing standing, long before) {
    for (ClientHandler client : expired(standing, before, MAX_LOOKED_AT)) {
      if (standing == Standing.LEAVING) {
        client.abort(Event.CLOSE_CROWDED);
        return true;
      }
      if (client.endQuietly(Event.CLOSE_CROWDED, true)) {
        return true;
      }
    }
    return false;
  }

  /**
   * No more connections come: those that are there may rest for as long as they like. Guards
   * against sending away clients that can not come back, to nodes that are crowded themselves.
   */
  public void listenerClosed() {
    shut = true;
  }

  /** A connection is open, or what is due on it has changed. */
  void moved(ClientHandler client, Standing from, Standing to) {
    if (from != null) {
      open.get(from).remove(client);
    }
    open.get(to).put(client, clock.activeNanos());
    if (to == Standing.OWED) {
      closeCrowding();
    }
    if (draining && to == Standing.IDLE) {
      client.endQuietly(Event.CLOSE_DRAIN, false);
    }
  }

  /**
   * Also those that have been told to leave are waited for: a process that ends before them resets
   * what crosses their end.
   */
  private void tellIfEmpty() {
    if (draining && whenEmpty != null && connectionCount() == 0) {
      Runnable step = whenEmpty;
      whenEmpty = null;
      step.run();
    }
  }

  void closed(ClientHandler client, Standing from) {
    open.get(from).remove(client);
    tellIfEmpty();
  }

  /** Connections on which an answer is owed. */
  public int connectionsAwaitingResponse() {
    return open.get(Standing.OWED).size();
  }

  public int connectionCount() {
    int size = 0;
    for (var clients : open.values()) {
      size += clients.size();
    }
    return size;
  }

  /** Closes what has been of no use for too long. Not to be called while the loop is behind. */
  public void closeExpired() {
    long now = clock.activeNanos();
    endAll(Standing.UNUSED, Event.CLOSE_UNUSED, now - MAX_COMMAND_NANOS);
    for (ClientHandler client :
        expired(Standing.MIDWAY, now - MAX_COMMAND_NANOS, Integer.MAX_VALUE)) {
      boolean longest = open.get(Standing.MIDWAY).get(client) - (now - MAX_VALUE_NANOS) <= 0;
      if (longest || !client.sendsValue(now - MAX_COMMAND_NANOS)) {
        client.endQuietly(Event.CLOSE_PARTIAL_COMMAND, false);
      }
    }
    if (!shut) {
      endAll(Standing.IDLE, Event.CLOSE_IDLE, now - MAX_IDLE_NANOS);
    }
    closeCrowding();
    abortAll(Standing.LEAVING, now - MAX_LEAVING_NANOS);
    abortAll(Standing.CLOSING, now - MAX_CLOSING_NANOS);
    for (ClientHandler client : expired(Standing.OWED, now, Integer.MAX_VALUE)) {
      client.abortIfStalled();
    }
  }

  private void endAll(Standing standing, Event reason, long before) {
    for (ClientHandler client : expired(standing, before, Integer.MAX_VALUE)) {
      client.endQuietly(reason, false);
    }
  }

  private void abortAll(Standing standing, long before) {
    for (ClientHandler client : expired(standing, before, Integer.MAX_VALUE)) {
      client.abort(Event.CLOSE_TIMEOUT);
    }
  }

  /**
   * Closes those idle longest while very many are in use, and sooner the more there are. Guards
   * against clients that ask once and keep the connection: where all may hold but so many, the
   * others find none to ask on. It also keeps places free for a rush. Does harm to clients that
   * come back after a pause: they have to connect anew.
   */
  private void closeCrowding() {
    if (shut) {
      return;
    }
    long now = clock.activeNanos();
    closeIdle(now - HESITANT_NANOS, FULL * limit);
    closeIdle(now - PROMPT_NANOS, CROWDED * limit);
  }

  /**
   * Closes those idle since then until no more than that are in use. One whose client has just gone
   * still stands among them: each is closed once, and not looked at again.
   */
  private void closeIdle(long before, double most) {
    int used = open.get(Standing.MIDWAY).size() + open.get(Standing.OWED).size();
    double excess = open.get(Standing.IDLE).size() + used - most;
    if (excess > 0) {
      for (ClientHandler client : expired(Standing.IDLE, before, (int) Math.ceil(excess))) {
        client.endQuietly(Event.CLOSE_CROWDED, true);
      }
    }
  }

  /** Those that have stood so since the given time, at most so many, longest first. */
  private List<ClientHandler> expired(Standing standing, long before, int most) {
    List<ClientHandler> expired = new ArrayList<>();
    for (var entry : open.get(standing).entrySet()) {
      if (entry.getValue() - before > 0 || expired.size() == most) {
        break;
      }
      expired.add(entry.getKey());
    }
    return expired;
  }

  /**
   * From now on closes each connection as it falls idle, right behind its last answer, and in so
   * many milliseconds those that rest; runs the step when none is left. A client that asks
   * meanwhile never meets the end of its connection; the longer one has rested, the less likely it
   * asks in the very moment in which it is closed.
   *
   * @param lastCallMillis how long after that those are ended, too, that have not fallen idle
   */
  public void drain(EventLoop loop, long restMillis, long lastCallMillis, Runnable then) {
    draining = true;
    whenEmpty = then;
    tellIfEmpty();
    if (connectionCount() > 0) {
      loop.schedule(() -> closeNext(loop), restMillis, TimeUnit.MILLISECONDS);
      loop.schedule(
          () -> clock.whenBacklogRead(this::lastCall),
          restMillis + lastCallMillis,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Nothing more is read on any connection; each ends behind what it is owed. Guards against what
   * clients send up to the moment in which the process is killed.
   */
  private void lastCall() {
    for (Standing standing : Standing.values()) {
      List.copyOf(open.get(standing).keySet()).forEach(ClientHandler::lastCall);
    }
  }

  /**
   * Ends idle connections one by one; one with bytes that wait to be read is ended after its
   * answer. Guards against requests that come while others are being closed: between two closes the
   * event loop reads what has come. The step grows with the number left, so that all are let go in
   * time also where a pause has eaten into it.
   */
  private void closeNext(EventLoop loop) {
    int idle = open.get(Standing.IDLE).size();
    if (idle > 0) {
      for (ClientHandler client :
          expired(Standing.IDLE, clock.activeNanos(), 1 + idle / DRAIN_STEPS)) {
        client.endQuietly(Event.CLOSE_DRAIN, false);
      }
      loop.schedule(() -> closeNext(loop), 1, TimeUnit.MILLISECONDS);
    }
  }
}
