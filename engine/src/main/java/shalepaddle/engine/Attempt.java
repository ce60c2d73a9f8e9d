package shalepaddle.engine;

import shalepaddle.loop.Timers;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings.Idempotency;

/**
 * One attempt to serve a request by a cache server. Owned by the event loop: the engine ends it,
 * and the connection that it is assigned to marks it as written.
 */
public final class Attempt {
  /** A connection to a cache server, which attempts are written to. */
  public interface Connection {
    /**
     * Stops waiting for an attempt, which ends right after this call.
     *
     * @param isOverdue whether the server has not answered in time
     */
    void abandon(Attempt attempt, boolean isOverdue);

    /**
     * Prevents the server from beginning an attempt that was written and whose answer is not needed
     * any more, if its last byte has not arrived there. Otherwise the attempt continues.
     */
    default void withdrawUndelivered(Attempt attempt) {
      // Without a send queue, what is written has arrived.
    }
  }

  /** The state of the attempt. Each transition has one method of this class. */
  private enum State {
    /** The attempt waits for a connection or for the kernel to accept it: it cannot have run. */
    UNWRITTEN,

    /** The last byte was handed to the socket: the attempt may run. */
    WRITTEN,

    /** The outcome is final; the attempt may have run, or may still run. */
    ENDED,

    /** The outcome is final and proves that the attempt did not run. */
    ENDED_NOT_RUN
  }

  private final Exchange exchange;
  private final int number;
  private final long server;
  private final long sentAtNanos;
  private final long stalledBeforeNanos;
  private final boolean hasWriteDeadline;
  private final long writeDeadlineNanos;
  private long deadlineNanos;
  private boolean isHeld;
  private long heldSinceNanos;
  private long clientConfirmedAtNanos;
  private State state = State.UNWRITTEN;
  private Call call;

  /** Null while the attempt waits for a connection. */
  private Connection connection;

  /** See {@link #streamEnd}. */
  private long streamEnd;

  private Timers.Timer responseTimer;

  /** Null if the attempt may be written at any time before its deadline. */
  private Timers.Timer writeTimer;

  /**
   * Creates an attempt that waits for a connection.
   *
   * @param number the index among the attempts of the exchange, from 0
   * @param sentAtNanos when the policy decided to send the attempt, by the loop's clock
   * @param deadlineNanos when this node stops waiting for the reply
   * @param writeWithinSeconds the time from {@code sentAtNanos} within which the attempt must be
   *     written completely; infinite for no limit
   * @param stalledBeforeNanos {@link shalepaddle.loop.LoopClock#stalledNanos} at that time
   */
  Attempt(
      Exchange exchange,
      int number,
      long server,
      long sentAtNanos,
      long deadlineNanos,
      double writeWithinSeconds,
      long stalledBeforeNanos) {
    this.exchange = exchange;
    this.call = exchange.upstreamCall();
    this.number = number;
    this.server = server;
    this.sentAtNanos = sentAtNanos;
    this.deadlineNanos = deadlineNanos;
    this.stalledBeforeNanos = stalledBeforeNanos;
    this.hasWriteDeadline = Double.isFinite(writeWithinSeconds);
    this.writeDeadlineNanos =
        hasWriteDeadline ? sentAtNanos + (long) (writeWithinSeconds * 1e9) : 0;
  }

  /** The exchange that the attempt belongs to. */
  public Exchange exchange() {
    return exchange;
  }

  /** The index among the attempts of the exchange, from 0. */
  int number() {
    return number;
  }

  /** The id of the cache server that the attempt is sent to. */
  public long server() {
    return server;
  }

  /** When the policy decided to send the attempt, by the loop's clock. */
  public long sentAtNanos() {
    return sentAtNanos;
  }

  /** The total time for which the event loop had stalled when the attempt was sent. */
  long stalledBeforeNanos() {
    return stalledBeforeNanos;
  }

  /** When this node stops waiting for the reply, by the loop's clock. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** The call that is written to the server, with the id of a client that awaits the answer. */
  public Call call() {
    return call;
  }

  /** The connection that the attempt is assigned to, null while it waits for one. */
  public Connection connection() {
    return connection;
  }

  /** How long it has been held back since this was first called, at the given time. */
  long heldNanos(long now) {
    if (!isHeld) {
      isHeld = true;
      heldSinceNanos = now;
    }
    return now - heldSinceNanos;
  }

  /** Records that the client was known to be connected at the given time. */
  void clientConfirmed(long now) {
    clientConfirmedAtNanos = now;
  }

  /** When the client was last known to be connected, by the check before the attempt is written. */
  long clientConfirmedAtNanos() {
    return clientConfirmedAtNanos;
  }

  /** Assigns the attempt to the connection that is about to write it. */
  public void assignTo(Connection connection) {
    this.connection = connection;
  }

  /** The position after the attempt's last byte in the stream of its connection. */
  public long streamEnd() {
    return streamEnd;
  }

  /** Sets the position after the attempt's last byte in the stream of its connection. */
  public void setStreamEnd(long streamEnd) {
    this.streamEnd = streamEnd;
  }

  /** Detaches an attempt that the server rejected as busy, and that has provably not run. */
  public void detach() {
    connection = null;
  }

  /** Records that the last byte was handed to the socket. No effect once the attempt has ended. */
  public void markWritten() {
    if (state == State.UNWRITTEN) {
      state = State.WRITTEN;
    }
  }

  /** Records that the attempt has provably not run and is to be written again. */
  void markUnwritten() {
    state = State.UNWRITTEN;
  }

  /** Ends the attempt with a final outcome. Called once. */
  void end(boolean isProvenNotRun) {
    state = isProvenNotRun ? State.ENDED_NOT_RUN : State.ENDED;
    cancelResponseTimer();
    cancelWriteTimer();
  }

  /** Whether the last byte was handed to the socket and the outcome is still open. */
  public boolean isWritten() {
    return state == State.WRITTEN;
  }

  /** Whether the outcome is final; a later reply is dropped. */
  public boolean isEnded() {
    return state == State.ENDED || state == State.ENDED_NOT_RUN;
  }

  /** Whether the server may have executed the attempt, or may still execute it. */
  boolean mayHaveRun() {
    return state == State.WRITTEN || state == State.ENDED;
  }

  /**
   * Whether a retry depends on the proof that this attempt has not run, or may not be sent while
   * this attempt may still run.
   */
  public boolean needsProofOfRejection() {
    return exchange.idempotency() != Idempotency.IDEMPOTENT || !exchange.allowsParallelAttempts();
  }

  /** Replaces the call that will be written, unless the attempt has a connection or has ended. */
  void forwardAs(Call newCall) {
    if (!isEnded() && connection == null) {
      call = newCall;
    }
  }

  /** Extends the deadline; the caller must set the response timer again. */
  void extendDeadline(long newDeadlineNanos) {
    deadlineNanos = newDeadlineNanos;
  }

  /** Sets the timer that ends the attempt as timed out. */
  void setResponseTimer(Timers.Timer timer) {
    responseTimer = timer;
  }

  /** Sets the timer that ends the attempt unless it is written completely before. */
  void setWriteTimer(Timers.Timer timer) {
    writeTimer = timer;
  }

  void cancelResponseTimer() {
    if (responseTimer != null) {
      responseTimer.cancel();
    }
  }

  void cancelWriteTimer() {
    if (writeTimer != null) {
      writeTimer.cancel();
    }
  }

  /** Nanoseconds left to write the attempt; {@code Long.MAX_VALUE} if there is no limit. */
  long writeWithinNanos(long now) {
    return hasWriteDeadline ? writeDeadlineNanos - now : Long.MAX_VALUE;
  }

  /**
   * Whether the attempt must not be written any more, since its deadline has passed or it could
   * take effect a second time. The timers end such an attempt, but after a stall of the event loop
   * a connection may be established before they run.
   */
  public boolean isTooLateToWrite(long now) {
    return deadlineNanos - now <= 0 || writeWithinNanos(now) <= 0;
  }

  /** Whether the attempt carries this request id. */
  public boolean hasRequestId(String id) {
    return call.request().id().equals(id);
  }

  /** Whether a reply whose value has not been received yet can answer this attempt. */
  public boolean matchesValue(ServerReply reply) {
    return hasRequestId(reply.id()) && !exchange.call().request().isWrite();
  }

  /** Whether a reply can answer this attempt: by its id, and with a value only for a read. */
  public boolean matches(ServerReply reply) {
    boolean matchesId = reply.id() == null || hasRequestId(reply.id());
    boolean isServed = reply.result() == Outcome.Result.OK;
    boolean hasValue = reply.value() != null;
    return matchesId && (!isServed || hasValue != exchange.call().request().isWrite());
  }
}
