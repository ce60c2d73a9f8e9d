package shalepaddle.front;

import io.netty.channel.Channel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.RetryStormDetector;

/**
 * Decides whether commands are taken from one client's connection: not while the client does not
 * read its responses or too many are pending, and for a time after an error, an early retry or more
 * than its quota of requests. Owned by the connection, on the event loop.
 */
final class ReadControl {
  /** Errors after which a connection is closed: its client does not speak the protocol. */
  private static final int MAX_ERRORS = 8;

  /**
   * How long nothing is read after an error. Prevents a client that repeats a malformed command at
   * full speed from using up the event loop.
   */
  private static final long ERROR_PAUSE_MILLIS = 250;

  /**
   * How long before its deadline a buffered command is delivered despite a pause, so that the node
   * has time to reject it.
   */
  private static final long DELIVERY_MARGIN_NANOS = 5_000_000L;

  /**
   * How long a pause lasts at most once the buffer is full: the deadlines of what waits behind that
   * in the socket are not known.
   */
  private static final long MAX_PAUSE_WITH_FULL_BUFFER_NANOS = 50_000_000L;

  /** Whether commands are read; from TAKING to STOPPED to DISCARDING, never back. */
  private enum State {
    /** Commands are taken, unless one of the reasons in the class comment suspends that. */
    TAKING,
    /** Nothing more is read; what was read before is still delivered. */
    STOPPED,
    /** The connection is closing: what comes is read, so that the kernel does not reset it. */
    DISCARDING
  }

  private final ResponseQueue responses;
  private final InboundBuffer inbound;
  private final ClientCodec.CommandDecoder decoder;
  private final FairReadScheduler fairness;
  private final FairReadScheduler.RequestCount requestCount = new FairReadScheduler.RequestCount();
  private final RetryStormDetector retryStorm = new RetryStormDetector();
  private final ReadPause pause = new ReadPause();
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final String connectionName;
  private Channel channel;
  private State state = State.TAKING;
  private int errors;

  /** The task that ends the pause, null before the first. */
  private Future<?> resumption;

  /** The reasons at the last {@link #update}, so that each is recorded once when it begins. */
  private boolean hadTooManyPending;

  private boolean wasUnwritable;

  ReadControl(
      ResponseQueue responses,
      InboundBuffer inbound,
      ClientCodec.CommandDecoder decoder,
      FairReadScheduler fairness,
      Dispatcher dispatcher,
      String connectionName) {
    this.responses = responses;
    this.inbound = inbound;
    this.decoder = decoder;
    this.fairness = fairness;
    this.dispatcher = dispatcher;
    this.clock = dispatcher.clock();
    this.connectionName = connectionName;
  }

  /** Begins; called once, before anything else. */
  void setChannel(Channel channel) {
    this.channel = channel;
    inbound.setListener(this::deadlineFound);
  }

  /**
   * Sets the mode of the inbound buffer from the present state. To be called after each change of
   * writability, of pending responses or of the pause.
   */
  void update() {
    boolean hasTooManyPending = hasTooManyPending();
    boolean takes =
        channel.isWritable()
            && !hasTooManyPending
            && !pause.isActive()
            && !decoder.isDesynchronized();
    recordSuspension(hasTooManyPending, !channel.isWritable());
    inbound.setMode(
        switch (state) {
          case TAKING -> takes ? InboundBuffer.Mode.DELIVER : InboundBuffer.Mode.BUFFER;
          case STOPPED -> InboundBuffer.Mode.SUSPEND;
          case DISCARDING -> InboundBuffer.Mode.DELIVER;
        });
  }

  /** Whether as many responses are pending as one connection may have. */
  boolean hasTooManyPending() {
    return responses.size() >= fairness.maxPendingResponses();
  }

  /** From now on reads nothing more. */
  void stop() {
    state = State.STOPPED;
    update();
  }

  /** The connection is closing: from now on reads what comes, for its handler to discard. */
  void discard() {
    state = State.DISCARDING;
    update();
  }

  private void recordSuspension(boolean hasTooManyPending, boolean isUnwritable) {
    if (hasTooManyPending && !hadTooManyPending) {
      dispatcher.recorder().record(Event.READ_PAUSE_ANSWERS_OWED, connectionName);
    }
    if (isUnwritable && !wasUnwritable) {
      dispatcher.recorder().record(Event.READ_PAUSE_ANSWERS_NOT_READ, connectionName);
    }
    hadTooManyPending = hasTooManyPending;
    wasUnwritable = isUnwritable;
  }

  /** Counts a protocol error of the client, and pauses reading. */
  void clientError() {
    errors++;
    pause(Event.READ_PAUSE_CLIENT_ERROR, TimeUnit.MILLISECONDS.toNanos(ERROR_PAUSE_MILLIS));
  }

  /** Whether the client broke the protocol so often that its connection is to be closed. */
  boolean hasTooManyErrors() {
    return errors >= MAX_ERRORS;
  }

  /** Requests were read, of which these were rejected before they were parsed. */
  void requestsRead(int requests, ClientCommand.Rejections rejections) {
    pause(Event.READ_PAUSE_FAIR_SHARE, fairness.pauseNanos(requestCount, requests, clock.now()));
    pause(Event.READ_PAUSE_EARLY_RETRY, retryPauseNanos(rejections));
  }

  private long retryPauseNanos(ClientCommand.Rejections rejections) {
    long retryAfterNanos = TimeUnit.MILLISECONDS.toNanos(rejections.retryAfterMillis());
    long nanos = 0;
    for (int i = 0; i < rejections.count(); i++) {
      nanos = retryStorm.recordRejection(i < rejections.retries(), retryAfterNanos, clock.now());
    }
    return nanos;
  }

  /** Reads nothing for at least the given time; 0 changes nothing. */
  private void pause(Event reason, long nanos) {
    if (nanos <= 0) {
      return;
    }
    dispatcher.recorder().record(reason, connectionName);
    if (pause.extend(clock.now(), nanos)) {
      update();
      resumeIn(nanos);
    }
    if (inbound.hasBytes()) {
      inbound.reportDeadline();
    }
  }

  /** Buffered commands have this deadline: the pause ends in time for it. */
  private void deadlineFound(long deadlineNanos) {
    long marginNanos = DELIVERY_MARGIN_NANOS + dispatcher.stallAllowanceNanos();
    long latestNanos = deadlineNanos - marginNanos;
    if (inbound.isFull() && clock.now() + MAX_PAUSE_WITH_FULL_BUFFER_NANOS - latestNanos < 0) {
      latestNanos = clock.now() + MAX_PAUSE_WITH_FULL_BUFFER_NANOS;
    }
    if (pause.endBy(latestNanos)) {
      resumeIn(Math.max(0, latestNanos - clock.now()));
    }
  }

  /** Schedules the end of the pause, in place of what was scheduled before. */
  private void resumeIn(long nanos) {
    if (resumption != null) {
      resumption.cancel(false);
    }
    resumption = channel.eventLoop().schedule(this::resume, nanos, TimeUnit.NANOSECONDS);
  }

  private void resume() {
    long remainingNanos = pause.remainingNanos(clock.now());
    if (remainingNanos > 0) {
      resumeIn(remainingNanos);
    } else {
      dispatcher.recorder().record(Event.READ_RESUMED, connectionName);
      update();
    }
  }
}
