package shalepaddle.front;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.StringJoiner;
import shalepaddle.diagnostics.Event;
import shalepaddle.loop.LoopClock;
import shalepaddle.sockets.SendQueues;

/**
 * All client connections by their status. Limits their number, closes connections that have not
 * been used for some time, and closes others so that new ones can be admitted.
 *
 * <p>Bounds the resources of connections that are not used: silent connections, incomplete
 * commands, connections that are kept open forever, and floods of connections. Cost: a client that
 * connects long before its first request has to connect again.
 *
 * <p>The time in a status is measured in the event loop's active time, and no connection is ended
 * between two requests while the kernel has unread bytes of it: bytes that a client sent while the
 * event loop was stalled are a request. Called only on the event loop.
 */
public final class ClientConnections {
  /** What a connection waits for. */
  enum Status {
    /** The first request, of which no bytes were received. */
    UNUSED,
    /** The rest of a command; no response is pending. */
    MID_COMMAND,
    /** The next request. */
    IDLE,
    /** A pending response. */
    AWAITING_RESPONSE,
    /** The last bytes to be sent; no more commands are handled. */
    CLOSING,
    /** The client's close; this node has closed its own end of the stream. */
    HALF_CLOSED
  }

  /** Maximum time until a client starts its first command, and for the transfer of a command. */
  private static final long MAX_COMMAND_NANOS = 2_100_000_000L;

  /** How long a client may take for a command with a large value at any rate. */
  private static final long MIN_VALUE_NANOS = 30_000_000_000L;

  /** The least mean rate of a client that takes longer than {@link #MIN_VALUE_NANOS}. */
  private static final double MIN_VALUE_BYTES_PER_SECOND = 1024;

  /** How long a connection is kept open between requests. */
  private static final long MAX_IDLE_NANOS = 4_000_000_000L;

  /**
   * A closing connection whose client has taken no bytes for this time may be aborted for a new
   * connection.
   */
  private static final long MIN_CLOSING_STALL_NANOS = 1_000_000_000L;

  /**
   * Maximum time until a client closes its end after this node has closed its own end and the
   * client has taken all bytes.
   */
  private static final long MAX_HALF_CLOSED_NANOS = 250_000_000L;

  private static final double NANOS_PER_SECOND = 1e9;

  /** An idle connection may be closed after this time while many are open. */
  private static final long MIN_IDLE_WHEN_CROWDED_NANOS = 300_000_000L;

  /**
   * A connection within a command may be closed for a new connection once no bytes of the command
   * were received for this time.
   */
  private static final long MIN_COMMAND_SILENCE_NANOS = 600_000_000L;

  /**
   * An unused connection may be closed for a new connection after this time: a client that connects
   * to send a request sends it sooner. If nearly all capacity is in use, idle connections and
   * silent connections within a command may be closed after this time too.
   */
  private static final long MIN_UNUSED_NANOS = 50_000_000L;

  /**
   * Above this ratio of unused connections to the limit, the oldest unused connection is closed for
   * a new connection, however short it has been open.
   */
  private static final double MAX_UNUSED_RATIO = 0.25;

  /**
   * Above this ratio of idle and used connections to the limit, idle connections are closed after
   * {@link #MIN_IDLE_WHEN_CROWDED_NANOS}.
   */
  private static final double CROWDED_RATIO = 0.5;

  /**
   * Above this ratio of idle and used connections to the limit, idle connections are closed after
   * {@link #MIN_UNUSED_NANOS}.
   */
  private static final double NEARLY_FULL_RATIO = 0.6;

  /** Maximum number of connections examined to find one without unread bytes. */
  private static final int MAX_CANDIDATES = 16;

  private int maxConnections;
  private final LoopClock clock;
  private final SendQueues sendQueues;

  /**
   * The connections that have each status, in the order in which they entered the status, with the
   * active time at which they entered it, in nanoseconds.
   */
  private final Map<Status, LinkedHashMap<ClientHandler, Long>> connectionsByStatus =
      new EnumMap<>(Status.class);

  private final ClientDrain drain;
  private boolean isListenerClosed;
  private long nameCount;

  /** Creates an instance without connections. */
  public ClientConnections(int maxConnections, LoopClock clock, SendQueues sendQueues) {
    this.maxConnections = maxConnections;
    this.clock = clock;
    this.sendQueues = sendQueues;
    this.drain = new ClientDrain(this, clock);
    for (Status status : Status.values()) {
      connectionsByStatus.put(status, new LinkedHashMap<>());
    }
  }

  /** Returns a name for a new connection, unique in this process. */
  String nextName() {
    return "c" + nameCount++;
  }

  /** What the kernel has not delivered to clients. */
  SendQueues sendQueues() {
    return sendQueues;
  }

  /** Changes the limit; connections beyond it stay open. */
  public void setMaxConnections(int connections) {
    maxConnections = Math.max(1, connections);
  }

  /**
   * Admits a new connection, closing another one if the limit is reached.
   *
   * @return false if the limit is reached and no other connection can be closed
   */
  public boolean admit() {
    if (connectionCount() < maxConnections) {
      return true;
    }
    long now = clock.activeNanos();
    boolean isFlooded =
        connectionsByStatus.get(Status.UNUSED).size() > MAX_UNUSED_RATIO * maxConnections;
    return endOldest(Status.HALF_CLOSED, now)
        || endOldest(Status.UNUSED, isFlooded ? now : now - MIN_UNUSED_NANOS)
        || endOldest(Status.IDLE, now - MIN_UNUSED_NANOS)
        || endSilent(now - MIN_COMMAND_SILENCE_NANOS)
        || abortStalled(Status.CLOSING)
        || abortStalled(Status.HALF_CLOSED)
        || endOldest(Status.UNUSED, now)
        || endSilent(now - MIN_UNUSED_NANOS);
  }

  /**
   * Ends the connection that has been silent for the longest time within a command, at least since
   * the given time. A slow client continues to send; a client that never completes its command does
   * not.
   */
  private boolean endSilent(long beforeNanos) {
    ClientHandler longestSilent = null;
    for (ClientHandler client : connectionsByStatus.get(Status.MID_COMMAND).keySet()) {
      if (longestSilent == null
          || client.receivedAtActiveNanos() - longestSilent.receivedAtActiveNanos() < 0) {
        longestSilent = client;
      }
    }
    return longestSilent != null
        && longestSilent.receivedAtActiveNanos() - beforeNanos <= 0
        && longestSilent.endIfNothingUnread(Event.CLOSE_CROWDED, true);
  }

  /**
   * Ends one connection that has had this status since the given time. Returns false if there is no
   * connection that can be ended.
   */
  private boolean endOldest(Status status, long beforeNanos) {
    for (ClientHandler client : enteredBefore(status, beforeNanos, MAX_CANDIDATES)) {
      if (status == Status.HALF_CLOSED && !client.hasUntakenBytes()) {
        client.abort(Event.CLOSE_CROWDED);
        return true;
      }
      if (client.endIfNothingUnread(Event.CLOSE_CROWDED, true)) {
        return true;
      }
    }
    return false;
  }

  /** Aborts one connection that is to end and whose client takes no bytes. */
  private boolean abortStalled(Status status) {
    for (ClientHandler client : enteredBefore(status, clock.activeNanos(), MAX_CANDIDATES)) {
      if (client.isWriteStalled(MIN_CLOSING_STALL_NANOS)) {
        client.abort(Event.CLOSE_CROWDED);
        return true;
      }
    }
    return false;
  }

  /**
   * Called when the listener was closed. Idle connections are kept open from then on: their clients
   * could not reconnect to this node, and would overload other nodes.
   */
  public void listenerClosed() {
    isListenerClosed = true;
    drain.listenerClosed();
  }

  /**
   * Records the status change of a connection; {@code previousStatus} is null for a new connection.
   */
  void statusChanged(ClientHandler client, Status previousStatus, Status newStatus) {
    if (previousStatus != null) {
      connectionsByStatus.get(previousStatus).remove(client);
    }
    connectionsByStatus.get(newStatus).put(client, clock.activeNanos());
    if (newStatus == Status.AWAITING_RESPONSE) {
      closeIdleIfCrowded();
    }
    if (newStatus == Status.IDLE) {
      drain.connectionIdle(client);
    }
  }

  /** Removes a connection that was closed in this status. */
  void connectionClosed(ClientHandler client, Status status) {
    connectionsByStatus.get(status).remove(client);
    drain.notifyIfDrained();
  }

  /** The number of connections with a pending response. */
  public int connectionsAwaitingResponse() {
    return connectionsByStatus.get(Status.AWAITING_RESPONSE).size();
  }

  /** The number of open connections. */
  public int connectionCount() {
    int connectionCount = 0;
    for (var clients : connectionsByStatus.values()) {
      connectionCount += clients.size();
    }
    return connectionCount;
  }

  /** The number of connections in each status, in fields of a log line. */
  public String describeCounts() {
    StringJoiner counts = new StringJoiner(" ");
    connectionsByStatus.forEach(
        (status, clients) ->
            counts.add(status.name().toLowerCase(Locale.ROOT) + "=" + clients.size()));
    return counts.toString();
  }

  /**
   * Closes connections that have exceeded the maximum time in their status. Must not be called
   * while the clock has a backlog, which may include their requests.
   */
  public void closeExpired() {
    long now = clock.activeNanos();
    endAll(Status.UNUSED, Event.CLOSE_UNUSED, now - MAX_COMMAND_NANOS);
    for (ClientHandler client :
        enteredBefore(Status.MID_COMMAND, now - MAX_COMMAND_NANOS, Integer.MAX_VALUE)) {
      long sinceNanos = connectionsByStatus.get(Status.MID_COMMAND).get(client);
      if (!client.hasSentValueSince(now - MAX_COMMAND_NANOS)
          || isTooSlow(client, now - sinceNanos)) {
        client.endIfNothingUnread(Event.CLOSE_PARTIAL_COMMAND, false);
      }
    }
    if (!isListenerClosed) {
      endAll(Status.IDLE, Event.CLOSE_IDLE, now - MAX_IDLE_NANOS);
    }
    closeIdleIfCrowded();
    for (ClientHandler client :
        enteredBefore(Status.HALF_CLOSED, now - MAX_HALF_CLOSED_NANOS, Integer.MAX_VALUE)) {
      if (!client.hasUntakenBytes()) {
        client.abort(Event.CLOSE_TIMEOUT);
      }
    }
    abortStopped(Status.AWAITING_RESPONSE);
    abortStopped(Status.CLOSING);
    abortStopped(Status.HALF_CLOSED);
  }

  /** Whether a client has sent too little of a value for the time that it has taken so far. */
  private static boolean isTooSlow(ClientHandler client, long elapsedNanos) {
    return elapsedNanos > MIN_VALUE_NANOS
        && client.receivedBytesInStatus()
            < MIN_VALUE_BYTES_PER_SECOND * (elapsedNanos / NANOS_PER_SECOND);
  }

  /** Aborts the connections whose clients have stopped to take bytes. */
  private void abortStopped(Status status) {
    for (ClientHandler client : enteredBefore(status, clock.activeNanos(), Integer.MAX_VALUE)) {
      if (client.isWriteStalled(ClientHandler.MAX_WRITE_STALL_NANOS)) {
        client.abort(Event.CLOSE_SLOW_READER);
      }
    }
  }

  private void endAll(Status status, Event reason, long beforeNanos) {
    for (ClientHandler client : enteredBefore(status, beforeNanos, Integer.MAX_VALUE)) {
      client.endIfNothingUnread(reason, false);
    }
  }

  /**
   * Closes the connections that have been idle for the longest time while many are open; the more
   * are open, the sooner. Prevents clients that send one request and keep the connection from using
   * up the limit, and reserves capacity for bursts. Cost: clients that send their next request
   * after a pause have to connect again.
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
   * Closes connections that have been idle since {@code beforeNanos}, if idle and used connections
   * together are more than {@code maxOpenConnections}: as many as exceed that number. The excess is
   * computed once, not after each close: a connection whose client has just disconnected stays in
   * the map, and a loop would not end.
   */
  private void closeIdle(long beforeNanos, double maxOpenConnections) {
    int usedConnections =
        connectionsByStatus.get(Status.MID_COMMAND).size()
            + connectionsByStatus.get(Status.AWAITING_RESPONSE).size();
    double excess =
        connectionsByStatus.get(Status.IDLE).size() + usedConnections - maxOpenConnections;
    if (excess > 0) {
      for (ClientHandler client :
          enteredBefore(Status.IDLE, beforeNanos, (int) Math.ceil(excess))) {
        client.endIfNothingUnread(Event.CLOSE_CROWDED, true);
      }
    }
  }

  /**
   * Returns up to {@code maxCount} connections that have had this status since the given time,
   * oldest first.
   */
  private List<ClientHandler> enteredBefore(Status status, long beforeNanos, int maxCount) {
    List<ClientHandler> clients = new ArrayList<>();
    for (var entry : connectionsByStatus.get(status).entrySet()) {
      if (entry.getValue() - beforeNanos > 0 || clients.size() == maxCount) {
        break;
      }
      clients.add(entry.getKey());
    }
    return clients;
  }

  /** All connections. */
  List<ClientHandler> all() {
    List<ClientHandler> clients = new ArrayList<>();
    connectionsByStatus.values().forEach(inStatus -> clients.addAll(inStatus.keySet()));
    return clients;
  }

  /**
   * The connections on which no request is open or about to be sent: idle ones, the longest idle
   * first, since they are the least likely to send a request just as they are closed, and such that
   * have been open for some time without one.
   */
  List<ClientHandler> unneeded() {
    long now = clock.activeNanos();
    List<ClientHandler> clients = enteredBefore(Status.IDLE, now, Integer.MAX_VALUE);
    clients.addAll(enteredBefore(Status.UNUSED, now - MIN_UNUSED_NANOS, Integer.MAX_VALUE));
    return clients;
  }

  /** The end of all connections in a shutdown. */
  ClientDrain drain() {
    return drain;
  }
}
