package shalepaddle.front;

import io.netty.channel.Channel;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import shalepaddle.diagnostics.Event;
import shalepaddle.engine.Dispatcher;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.RetryStormDetector;

/**
 * Decides whether commands are read from a client's connection. Reading is suspended while the
 * client does not read its responses, too many responses are pending, memory for more of them is
 * short, or the client has received a part of a value that may still break off, and for some time
 * after an error, an early retry or requests beyond the connection's quota. Owned by the
 * connection, on the event loop.
 */
final class ReadControl implements InboundBuffer.Listener {
  /** Number of errors after which the connection is closed: the client breaks the protocol. */
  private static final int MAX_ERRORS = 8;

  /**
   * How long reading is suspended after an error. Prevents a client that repeats a malformed
   * command at full speed from using up the event loop.
   */
  private static final long ERROR_PAUSE_MILLIS = 250;

  /**
   * How long before its deadline a buffered command is delivered despite a pause, so that the node
   * can reject it in time.
   */
  private static final long DELIVERY_MARGIN_NANOS = 5_000_000L;

  /**
   * Maximum length of a pause once the buffer is full: the deadlines of the commands that wait in
   * the socket are not known.
   */
  private static final long MAX_PAUSE_WITH_FULL_BUFFER_NANOS = 50_000_000L;

  /** Whether commands are read. The states follow one another and never go back. */
  private enum State {
    /** Commands are read, unless suspended for one of the reasons in the class comment. */
    READING,
    /** No more commands are read, but the client's close is while responses are pending. */
    WATCHING,
    /** No more bytes are read; bytes that were read before are still delivered. */
    STOPPED,
    /** Bytes are read and discarded, so that the kernel does not reset the closing connection. */
    DISCARDING
  }

  private final ResponseQueue responses;
  private final InboundBuffer inboundBuffer;
  private final ClientCodec.CommandDecoder decoder;
  private final FairReadScheduler fairReadScheduler;
  private final FairReadScheduler.RequestCount requestCount = new FairReadScheduler.RequestCount();
  private final RetryStormDetector retryStormDetector = new RetryStormDetector();
  private final ReadPause readPause = new ReadPause();
  private final Dispatcher dispatcher;
  private final LoopClock clock;
  private final String connectionName;
  private Channel channel;
  private State state = State.READING;
  private int errorCount;

  /** The task that ends the pause, null before the first pause. */
  private Future<?> resumeTask;

  /**
   * Whether too many responses were pending at the last {@link #update}, so that each suspension is
   * recorded once.
   */
  private boolean hadTooManyPending;

  /** Whether memory was too short at the last {@link #update}. */
  private boolean wasMemoryShort;

  /** Whether the channel was unwritable at the last {@link #update}. */
  private boolean wasUnwritable;

  ReadControl(
      ResponseQueue responses,
      InboundBuffer inboundBuffer,
      ClientCodec.CommandDecoder decoder,
      FairReadScheduler fairReadScheduler,
      Dispatcher dispatcher,
      String connectionName) {
    this.responses = responses;
    this.inboundBuffer = inboundBuffer;
    this.decoder = decoder;
    this.fairReadScheduler = fairReadScheduler;
    this.dispatcher = dispatcher;
    this.clock = dispatcher.clock();
    this.connectionName = connectionName;
  }

  /** Sets the channel. Called once, before all other methods. */
  void setChannel(Channel channel) {
    this.channel = channel;
    inboundBuffer.setListener(this);
  }

  /**
   * Sets the mode of the inbound buffer by the present state. Must be called after each change of
   * the channel's writability, the pending responses or the pause.
   */
  void update() {
    boolean hasTooManyPending = hasTooManyPending();
    boolean mayDeliver =
        channel.isWritable()
            && !hasTooManyPending
            && !responses.isMemoryShort()
            && !responses.isValueAtRisk()
            && !readPause.isActive()
            && !decoder.isDesynchronized();
    recordSuspension(hasTooManyPending, !channel.isWritable(), responses.isMemoryShort());
    inboundBuffer.setMode(
        switch (state) {
          case READING -> mayDeliver ? InboundBuffer.Mode.DELIVER : InboundBuffer.Mode.BUFFER;
          case WATCHING -> InboundBuffer.Mode.WATCH;
          case STOPPED -> InboundBuffer.Mode.SUSPEND;
          case DISCARDING -> InboundBuffer.Mode.DELIVER;
        });
  }

  /** Whether the limit of pending responses on one connection is reached. */
  private boolean hasTooManyPending() {
    return responses.size() >= fairReadScheduler.maxPendingResponses();
  }

  /** Suspends reading if the response to the last command must be written first. */
  void onCommandRead() {
    if (hasTooManyPending() || responses.isMemoryShort()) {
      update();
    }
  }

  /** Reads no more commands; the client's close is still noticed unless bytes are before it. */
  void watch() {
    state = State.WATCHING;
    update();
  }

  /** Stops reading for good. */
  void stop() {
    state = State.STOPPED;
    update();
  }

  /** Reads again on a closing connection, whose handler discards the commands. */
  void discard() {
    state = State.DISCARDING;
    update();
  }

  private void recordSuspension(
      boolean hasTooManyPending, boolean isUnwritable, boolean isMemoryShort) {
    if (isMemoryShort && !wasMemoryShort) {
      dispatcher.recorder().record(Event.READ_PAUSE_MEMORY_SHORT, connectionName);
    }
    wasMemoryShort = isMemoryShort;
    if (hasTooManyPending && !hadTooManyPending) {
      dispatcher.recorder().record(Event.READ_PAUSE_ANSWERS_OWED, connectionName);
    }
    if (isUnwritable && !wasUnwritable) {
      dispatcher.recorder().record(Event.READ_PAUSE_ANSWERS_NOT_READ, connectionName);
    }
    hadTooManyPending = hasTooManyPending;
    wasUnwritable = isUnwritable;
  }

  /** Counts a protocol error of the client and pauses reading. */
  void onClientError() {
    errorCount++;
    pause(Event.READ_PAUSE_CLIENT_ERROR, TimeUnit.MILLISECONDS.toNanos(ERROR_PAUSE_MILLIS));
  }

  /** Whether the client has made so many protocol errors that its connection must be closed. */
  boolean hasTooManyErrors() {
    return errorCount >= MAX_ERRORS;
  }

  /** Pauses reading if requests, some of them rejected before parsing, exceed a limit. */
  void onRequestsRead(int requests, ClientCommand.Rejections rejections) {
    pause(
        Event.READ_PAUSE_FAIR_SHARE,
        fairReadScheduler.pauseNanos(requestCount, requests, clock.now()));
    pause(Event.READ_PAUSE_EARLY_RETRY, retryPauseNanos(rejections));
  }

  private long retryPauseNanos(ClientCommand.Rejections rejections) {
    long retryAfterNanos = TimeUnit.MILLISECONDS.toNanos(rejections.retryAfterMillis());
    long pauseNanos = 0;
    for (int i = 0; i < rejections.count(); i++) {
      pauseNanos =
          retryStormDetector.recordRejection(
              i < rejections.retries(), retryAfterNanos, clock.now());
    }
    return pauseNanos;
  }

  /** Pauses reading for at least the given time; no effect if that is 0. */
  private void pause(Event reason, long pauseNanos) {
    if (pauseNanos <= 0) {
      return;
    }
    dispatcher.recorder().record(reason, connectionName);
    if (readPause.extend(clock.now(), pauseNanos)) {
      update();
      resumeIn(pauseNanos);
    }
    if (inboundBuffer.hasBytes()) {
      inboundBuffer.reportDeadline();
    }
  }

  @Override
  public void bufferFilled() {
    dispatcher.recorder().record(Event.READ_PAUSE_BUFFER_FULL, connectionName);
  }

  /** Ends the pause in time for the earliest deadline among the buffered commands. */
  @Override
  public void deadlineFound(long deadlineNanos) {
    long marginNanos = DELIVERY_MARGIN_NANOS + dispatcher.stallAllowanceNanos();
    long latestNanos = deadlineNanos - marginNanos;
    if (inboundBuffer.isFull()
        && clock.now() + MAX_PAUSE_WITH_FULL_BUFFER_NANOS - latestNanos < 0) {
      latestNanos = clock.now() + MAX_PAUSE_WITH_FULL_BUFFER_NANOS;
    }
    if (readPause.endBy(latestNanos)) {
      resumeIn(Math.max(0, latestNanos - clock.now()));
    }
  }

  /** Schedules the end of the pause, replacing an earlier schedule. */
  private void resumeIn(long delayNanos) {
    if (resumeTask != null) {
      resumeTask.cancel(false);
    }
    resumeTask = channel.eventLoop().schedule(this::resume, delayNanos, TimeUnit.NANOSECONDS);
  }

  private void resume() {
    long remainingNanos = readPause.remainingNanos(clock.now());
    if (remainingNanos > 0) {
      resumeIn(remainingNanos);
    } else {
      dispatcher.recorder().record(Event.READ_RESUMED, connectionName);
      update();
    }
  }
}
