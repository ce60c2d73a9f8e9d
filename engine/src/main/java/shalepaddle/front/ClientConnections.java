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
 * All connections of clients by their status: how many there may be, which are closed after a time
 * without use, and which are closed to make room for new ones.
 *
 * <p>Bounds what clients can take that connect and make no use of it: silent ones, incomplete
 * commands, connections kept open for good, floods of connections. Cost: a client that connects
 * long before its first request has to connect again.
 *
 * <p>Time in a status is measured in the event loop's active time, and no connection is ended
 * between two requests while the kernel has unread bytes of it: what a client sent while the event
 * loop was stalled is a request. All of it runs on the event loop.
 */
public final class ClientConnections {
  /** What a connection waits for. */
  enum Status {
    /** Its first request, which has not begun. */
    UNUSED,
    /** The rest of a command; no response is pending. */
    MID_COMMAND,
    /** The next request. */
    IDLE,
    /** A pending response. */
    AWAITING_RESPONSE,
    /** The last bytes to go out; nothing more is taken from it. */
    CLOSING,
    /** The client's close; this node has closed its own end of the stream. */
    HALF_CLOSED
  }

  /** How long a client may take for its first command, or for any command. */
  private static final long MAX_COMMAND_NANOS = 2_100_000_000L;

  /** How long it may take for a command with a large value, while it goes on sending. */
  private static final long MAX_VALUE_NANOS = 30_000_000_000L;

  /** How long a connection is kept between requests. */
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;

  /** How long the last responses on a connection may take to go out. */
  private static final long MAX_CLOSING_NANOS = 1_000_000_000L;

  /** How long a client may take to close its end once this node has closed its own. */
  private static final long MAX_HALF_CLOSED_NANOS = 250_000_000L;

  /** Each step of a drain closes one idle connection and a 64th of those left. */
  private static final int DRAIN_STEPS = 64;

  private static final long DRAIN_STEP_MILLIS = 1;

  /** An idle connection may be closed after this time while many are in use. */
  private static final long MIN_IDLE_WHEN_CROWDED_NANOS = 300_000_000L;

  /** A connection within a command may be closed for a new one after this time of silence. */
  private static final long MIN_COMMAND_SILENCE_NANOS = 600_000_000L;

  /**
   * An unused connection may be closed for a new one after this time: a client that connects to
   * send a request does so sooner. The same holds for any other where nearly all capacity is in
   * use.
   */
  private static final long MIN_UNUSED_NANOS = 50_000_000L;

  /** Unused connections past this part of the limit are closed first, the oldest first. */
  private static final double MAX_UNUSED_RATIO = 0.25;

  /** The part from which on idle ones are closed after MIN_IDLE_WHEN_CROWDED_NANOS. */
  private static final double CROWDED_RATIO = 0.5;

  /** The part from which on they are closed after {@link #MIN_UNUSED_NANOS}. */
  private static final double NEARLY_FULL_RATIO = 0.6;

  /** Connections looked at for one that can be closed; those with unread bytes can not. */
  private static final int MAX_CANDIDATES = 16;

  private int maxConnections;
  private final LoopClock clock;

  /** By status, those that entered it first at the front; with the time of that. */
  private final Map<Status, LinkedHashMap<ClientHandler, Long>> open = new EnumMap<>(Status.class);

  private boolean isListenerClosed;
  private boolean isDraining;

  /** Run once a drain has ended all connections; null if none is to be run. */
  private Runnable whenDrained;

  private long namesGiven;

  /** No connections yet. */
  public ClientConnections(int maxConnections, LoopClock clock) {
    this.maxConnections = maxConnections;
    this.clock = clock;
    for (Status status : Status.values()) {
      open.put(status, new LinkedHashMap<>());
    }
  }

  /** A name for one more connection, new in this process. */
  String nextName() {
    return "c" + namesGiven++;
  }

  /** Changes the limit; connections past it stay open. */
  public void setMaxConnections(int connections) {
    maxConnections = Math.max(1, connections);
  }

  /**
   * Makes room for one more connection.
   *
   * @return false if the limit is reached and no other can be closed
   */
  public boolean admit() {
    if (connectionCount() < maxConnections) {
      return true;
    }
    long now = clock.activeNanos();
    boolean isFlooded = open.get(Status.UNUSED).size() > MAX_UNUSED_RATIO * maxConnections;
    return endOldest(Status.HALF_CLOSED, now)
        || endOldest(Status.UNUSED, isFlooded ? now : now - MIN_UNUSED_NANOS)
        || endOldest(Status.IDLE, now - MIN_UNUSED_NANOS)
        || endSilent(now - MIN_COMMAND_SILENCE_NANOS)
        || endOldest(Status.UNUSED, now)
        || endSilent(now - MIN_UNUSED_NANOS);
  }

  /**
   * Ends the connection that has been silent for longest within a command, at least since the given
   * time. A slow client goes on sending; one that never completes its command does not.
   */
  private boolean endSilent(long before) {
    ClientHandler silent = null;
    for (ClientHandler client : open.get(Status.MID_COMMAND).keySet()) {
      if (silent == null || client.receivedAtActiveNanos() - silent.receivedAtActiveNanos() < 0) {
        silent = client;
      }
    }
    return silent != null
        && silent.receivedAtActiveNanos() - before <= 0
        && silent.endIfNothingUnread(Event.CLOSE_CROWDED, true);
  }

  /** Ends one connection that has had this status since the given time; false if none can be. */
  private boolean endOldest(Status status, long before) {
    for (ClientHandler client : enteredBefore(status, before, MAX_CANDIDATES)) {
      if (status == Status.HALF_CLOSED) {
        client.abort(Event.CLOSE_CROWDED);
        return true;
      }
      if (client.endIfNothingUnread(Event.CLOSE_CROWDED, true)) {
        return true;
      }
    }
    return false;
  }

  /**
   * No more connections come, so idle ones are kept: their clients could not come back, and would
   * crowd other nodes.
   */
  public void listenerClosed() {
    isListenerClosed = true;
  }

  /** A connection has opened, where {@code from} is null, or changed its status. */
  void statusChanged(ClientHandler client, Status from, Status to) {
    if (from != null) {
      open.get(from).remove(client);
    }
    open.get(to).put(client, clock.activeNanos());
    if (to == Status.AWAITING_RESPONSE) {
      closeIdleIfCrowded();
    }
    if (isDraining && to == Status.IDLE) {
      client.endIfNothingUnread(Event.CLOSE_DRAIN, false);
    }
  }

  /**
   * Half-closed connections are waited for as well: a process that ends before them resets what
   * their clients are sending.
   */
  private void notifyIfDrained() {
    if (isDraining && whenDrained != null && connectionCount() == 0) {
      Runnable step = whenDrained;
      whenDrained = null;
      step.run();
    }
  }

  /** A connection with this status is closed. */
  void closed(ClientHandler client, Status from) {
    open.get(from).remove(client);
    notifyIfDrained();
  }

  /** Connections with a pending response. */
  public int connectionsAwaitingResponse() {
    return open.get(Status.AWAITING_RESPONSE).size();
  }

  /** Connections that are open. */
  public int connectionCount() {
    int size = 0;
    for (var clients : open.values()) {
      size += clients.size();
    }
    return size;
  }

  /**
   * Closes connections that have exceeded the time allowed in their status. Not to be called while
   * the clock has a backlog, which may hold their requests.
   */
  public void closeExpired() {
    long now = clock.activeNanos();
    endAll(Status.UNUSED, Event.CLOSE_UNUSED, now - MAX_COMMAND_NANOS);
    for (ClientHandler client :
        enteredBefore(Status.MID_COMMAND, now - MAX_COMMAND_NANOS, Integer.MAX_VALUE)) {
      boolean isPastMaxValueTime =
          open.get(Status.MID_COMMAND).get(client) - (now - MAX_VALUE_NANOS) <= 0;
      if (isPastMaxValueTime || !client.hasSentValueSince(now - MAX_COMMAND_NANOS)) {
        client.endIfNothingUnread(Event.CLOSE_PARTIAL_COMMAND, false);
      }
    }
    if (!isListenerClosed) {
      endAll(Status.IDLE, Event.CLOSE_IDLE, now - MAX_IDLE_NANOS);
    }
    closeIdleIfCrowded();
    abortAll(Status.HALF_CLOSED, now - MAX_HALF_CLOSED_NANOS);
    abortAll(Status.CLOSING, now - MAX_CLOSING_NANOS);
    for (ClientHandler client : enteredBefore(Status.AWAITING_RESPONSE, now, Integer.MAX_VALUE)) {
      client.abortIfWriteStalled();
    }
  }

  private void endAll(Status status, Event reason, long before) {
    for (ClientHandler client : enteredBefore(status, before, Integer.MAX_VALUE)) {
      client.endIfNothingUnread(reason, false);
    }
  }

  private void abortAll(Status status, long before) {
    for (ClientHandler client : enteredBefore(status, before, Integer.MAX_VALUE)) {
      client.abort(Event.CLOSE_TIMEOUT);
    }
  }

  /**
   * Closes the connections that have been idle for longest while many are in use, sooner the more
   * there are. Prevents clients that send one request and keep the connection from using up the
   * limit, and keeps capacity for a burst. Cost: clients that come back after a pause have to
   * connect again.
   */
  private void closeIdleIfCrowded() {
    if (isListenerClosed) {
      return;
    }
    long now = clock.activeNanos();
    closeIdle(now - MIN_UNUSED_NANOS, NEARLY_FULL_RATIO * maxConnections);
    closeIdle(now - MIN_IDLE_WHEN_CROWDED_NANOS, CROWDED_RATIO * maxConnections);
  }

  /**
   * Closes connections that have been idle since {@code before}, as many as idle and used ones
   * together exceed {@code maxOpen}. The number is computed once, not after each close: a
   * connection whose client has just disconnected stays in the map, and a loop would not end.
   */
  private void closeIdle(long before, double maxOpen) {
    int used = open.get(Status.MID_COMMAND).size() + open.get(Status.AWAITING_RESPONSE).size();
    double excess = open.get(Status.IDLE).size() + used - maxOpen;
    if (excess > 0) {
      for (ClientHandler client : enteredBefore(Status.IDLE, before, (int) Math.ceil(excess))) {
        client.endIfNothingUnread(Event.CLOSE_CROWDED, true);
      }
    }
  }

  /** At most {@code max} connections with this status since the given time, oldest first. */
  private List<ClientHandler> enteredBefore(Status status, long before, int max) {
    List<ClientHandler> clients = new ArrayList<>();
    for (var entry : open.get(status).entrySet()) {
      if (entry.getValue() - before > 0 || clients.size() == max) {
        break;
      }
      clients.add(entry.getKey());
    }
    return clients;
  }

  /**
   * From now on closes each connection as it becomes idle, right behind its last response, and
   * after a time those that are idle already, the longest idle first: they are the least likely to
   * send a request in the very moment in which they are closed.
   *
   * @param restMillis after how long the closing of idle connections begins
   * @param lastCallMillis how long after that reading stops on all connections, so that each closes
   *     after the responses that are pending then
   * @param then run once when no connection is left
   */
  public void drain(EventLoop loop, long restMillis, long lastCallMillis, Runnable then) {
    isDraining = true;
    whenDrained = then;
    notifyIfDrained();
    if (connectionCount() > 0) {
      loop.schedule(() -> closeIdleStep(loop), restMillis, TimeUnit.MILLISECONDS);
      loop.schedule(
          () -> clock.whenBacklogRead(this::lastCall),
          restMillis + lastCallMillis,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Stops reading on all connections; each closes after its pending responses. Requests read later
   * could be lost when the process is killed; unread ones are sent again elsewhere.
   */
  private void lastCall() {
    for (Status status : Status.values()) {
      List.copyOf(open.get(status).keySet()).forEach(ClientHandler::lastCall);
    }
  }

  /**
   * Ends idle connections in steps; one with unread bytes is ended after its response. Between two
   * steps the event loop reads what has come. Each step closes a share of those left, so that the
   * number of steps grows slowly with how many there are.
   */
  private void closeIdleStep(EventLoop loop) {
    int idle = open.get(Status.IDLE).size();
    if (idle > 0) {
      for (ClientHandler client :
          enteredBefore(Status.IDLE, clock.activeNanos(), 1 + idle / DRAIN_STEPS)) {
        client.endIfNothingUnread(Event.CLOSE_DRAIN, false);
      }
      loop.schedule(() -> closeIdleStep(loop), DRAIN_STEP_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
