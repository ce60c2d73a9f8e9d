package shalepaddle.front;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.loop.LoopClock;

/**
 * The end of all client connections in a shutdown. Connections on which no request is open are
 * ended at once, each other one right after its last response: if the process is held up and
 * killed, each open connection may lose a request. Owned by {@link ClientConnections}, on the event
 * loop.
 */
final class ClientDrain {
  /** Each step ends one connection plus 1/64 of those that can be ended then. */
  private static final int STEPS = 64;

  private static final long STEP_MILLIS = 1;

  /** The time until the next step if no connection can be ended now. */
  private static final long IDLE_STEP_MILLIS = 10;

  /** A client that has sent nothing for this time is not about to complete its command. */
  private static final long MAX_COMMAND_SILENCE_NANOS = 250_000_000L;

  private final ClientConnections connections;
  private final LoopClock clock;
  private boolean isBegun;
  private boolean isListenerClosed;
  private boolean isReadingStopped;

  /** The task to run once all connections are ended; null if there is none. */
  private Runnable whenDrained;

  ClientDrain(ClientConnections connections, LoopClock clock) {
    this.connections = connections;
    this.clock = clock;
  }

  /**
   * Begins to end each connection after its last response.
   *
   * @param onDrained run once when the listener is closed and no connection is left
   */
  void begin(Runnable onDrained) {
    isBegun = true;
    whenDrained = onDrained;
    notifyIfDrained();
  }

  /** Ends the connections on which no request is open, after a delay. */
  void endUnneededAfter(EventLoop loop, long delayMillis) {
    loop.schedule(() -> endUnneededStep(loop), delayMillis, TimeUnit.MILLISECONDS);
  }

  void listenerClosed() {
    isListenerClosed = true;
    notifyIfDrained();
  }

  /**
   * Stops reading after a delay, except from clients that are sending a command.
   *
   * @param delayMillis the time that clients of new connections have for their first request
   */
  void stopReadingAfter(EventLoop loop, long delayMillis) {
    loop.schedule(
        () -> clock.runWhenBacklogRead(() -> stopReadingStep(loop)),
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Stops reading on all connections after a delay. */
  void stopReadingOnAllAfter(EventLoop loop, long delayMillis) {
    loop.schedule(
        () -> clock.runWhenBacklogRead(() -> connections.all().forEach(ClientHandler::drain)),
        delayMillis,
        TimeUnit.MILLISECONDS);
  }

  /** Called when a connection has handled all complete commands that were read. */
  void commandsRead(ClientHandler client) {
    if (isReadingStopped && !client.isMidCommand()) {
      client.drain();
    }
  }

  /** Ends a connection that has just become idle. */
  void connectionIdle(ClientHandler client) {
    if (isBegun) {
      client.endIfNothingUnread(Event.CLOSE_DRAIN, false);
    }
  }

  /**
   * Runs the callback if all connections are closed. Half-closed connections count as open: if the
   * process ended before them, requests that their clients are sending would be reset.
   */
  void notifyIfDrained() {
    if (isBegun && isListenerClosed && whenDrained != null && connections.connectionCount() == 0) {
      Runnable callback = whenDrained;
      whenDrained = null;
      callback.run();
    }
  }

  /**
   * Stops reading on connections, each of which closes after its pending responses. Requests that
   * are read later could be lost when the process is killed; clients send unread requests again to
   * other nodes. A command that a client is sending is read first: the client may not notice the
   * end of the connection before it has sent all.
   */
  private void stopReadingStep(EventLoop loop) {
    boolean isFirstStep = !isReadingStopped;
    isReadingStopped = true;
    long sinceNanos = clock.activeNanos() - MAX_COMMAND_SILENCE_NANOS;
    boolean isAnySending = false;
    for (ClientHandler client : connections.all()) {
      // What has arrived by the first step is read before the next one.
      if (client.isSendingCommand(sinceNanos) || (isFirstStep && client.hasUnreadBytes())) {
        isAnySending = true;
      } else {
        client.drain();
      }
    }
    if (isAnySending) {
      loop.schedule(
          () -> clock.runWhenBacklogRead(() -> stopReadingStep(loop)),
          IDLE_STEP_MILLIS,
          TimeUnit.MILLISECONDS);
    }
  }

  /**
   * Ends connections on which no request is open, in steps; a connection with unread bytes is ended
   * after its response. Between two steps the event loop reads received bytes. Each step ends a
   * fraction of the remaining connections, so that the number of steps grows only slowly with their
   * number.
   */
  private void endUnneededStep(EventLoop loop) {
    List<ClientHandler> unneeded = connections.unneeded();
    int count = Math.min(unneeded.size(), 1 + unneeded.size() / STEPS);
    for (ClientHandler client : unneeded.subList(0, count)) {
      client.endIfNothingUnread(Event.CLOSE_DRAIN, false);
    }
    if (!isReadingStopped) {
      long delayMillis = unneeded.isEmpty() ? IDLE_STEP_MILLIS : STEP_MILLIS;
      loop.schedule(() -> endUnneededStep(loop), delayMillis, TimeUnit.MILLISECONDS);
    }
  }
}
