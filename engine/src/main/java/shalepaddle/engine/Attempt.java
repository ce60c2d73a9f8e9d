package shalepaddle.engine;

import shalepaddle.loop.Timers;
import shalepaddle.model.Outcome;

/**
 * One forwarding of a request to one cache server. Owned by the event loop: the engine ends it, the
 * connection that carries it says when it was written.
 */
public final class Attempt {
  /** A connection that carries attempts. */
  public interface Carrier {
    /**
     * Nobody waits for this attempt any more; it ends right after this.
     *
     * @param overdue whether the server has not answered it in time
     */
    void abandon(Attempt attempt, boolean overdue);
  }

  /** How far it has come. Each change is made by one method of this class. */
  private enum State {
    /** Waits for a connection, or its bytes wait for the kernel: it can not have run. */
    UNWRITTEN,

    /** Its last byte was handed to the socket: it may run. */
    WRITTEN,

    /** Its outcome is settled; it may have run, or may yet. */
    ENDED,

    /** Its outcome is settled and proves that it never ran. */
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
  private State state = State.UNWRITTEN;
  private Call call;

  /** Null while it waits for a connection. */
  private Carrier carrier;

  private boolean abandoned;
  private Timers.Timer responseTimer;

  /** Null where it may be written at any time before its deadline. */
  private Timers.Timer writeTimer;

  /**
   * An attempt that waits for a connection.
   *
   * @param number its place among the attempts of its exchange, from 0
   * @param sentAtNanos when the policy decided on it, by the loop's clock
   * @param deadlineNanos when this node stops waiting for it
   * @param writeWithinSeconds by when it must be written complete, infinite for at any time
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

  /** The exchange that it belongs to. */
  public Exchange exchange() {
    return exchange;
  }

  /** Its place among the attempts of its exchange, from 0. */
  int number() {
    return number;
  }

  /** The id of the cache server that it goes to. */
  public long server() {
    return server;
  }

  /** When the policy decided on it, by the loop's clock. */
  public long sentAtNanos() {
    return sentAtNanos;
  }

  /** For how long the event loop had stalled in all when it was sent. */
  long stalledBeforeNanos() {
    return stalledBeforeNanos;
  }

  /** When this node stops waiting for it, by the loop's clock. */
  public long deadlineNanos() {
    return deadlineNanos;
  }

  /** What is written to the server, under the id of a client that waits for the answer. */
  public Call call() {
    return call;
  }

  /** The connection that it was handed to, null while it waits for one. */
  public Carrier carrier() {
    return carrier;
  }

  /** Hands it to a connection, which writes it now. */
  public void assignTo(Carrier connection) {
    carrier = connection;
  }

  /** Detaches it from its connection, whose server was too busy for it: it has provably not run. */
  public void detach() {
    carrier = null;
  }

  /** Its last byte was handed to the socket. Changes nothing once it has ended. */
  public void markWritten() {
    if (state == State.UNWRITTEN) {
      state = State.WRITTEN;
    }
  }

  /** It has provably not run, and is to be written once more. */
  void markUnwritten() {
    state = State.UNWRITTEN;
  }

  /** Its outcome is settled. Called once. */
  void end(boolean provenNotRun) {
    state = provenNotRun ? State.ENDED_NOT_RUN : State.ENDED;
    cancelResponseTimer();
    cancelWriteTimer();
  }

  /** Whether its last byte was handed to the socket and its outcome is still open. */
  public boolean isWritten() {
    return state == State.WRITTEN;
  }

  /** Whether its outcome is settled; what the server says of it after that is dropped. */
  public boolean isEnded() {
    return state == State.ENDED || state == State.ENDED_NOT_RUN;
  }

  /** Whether it may have been carried out, or may yet be. */
  boolean mayHaveRun() {
    return state == State.WRITTEN || state == State.ENDED;
  }

  /** Its answer is no longer wanted, though it may still come on its connection. */
  public void abandon() {
    abandoned = true;
  }

  /** Whether {@link #abandon} was called. */
  public boolean isAbandoned() {
    return abandoned;
  }

  /** From now on it goes out as this call, unless it was handed to a connection or has ended. */
  void forwardAs(Call other) {
    if (!isEnded() && carrier == null) {
      call = other;
    }
  }

  /** Gives it more time; its response timer is to be set anew. */
  void extendDeadline(long nanos) {
    deadlineNanos = nanos;
  }

  /** Keeps the timer that ends it as timed out. */
  void setResponseTimer(Timers.Timer timer) {
    responseTimer = timer;
  }

  /** Keeps the timer that ends it unless it has been written complete by then. */
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

  /** Nanoseconds in which it must be written; {@code Long.MAX_VALUE} where any time will do. */
  long writeWithinNanos(long now) {
    return hasWriteDeadline ? writeDeadlineNanos - now : Long.MAX_VALUE;
  }

  /**
   * Whether it must not be written any more: nobody would wait for its answer, or it could take
   * effect a second time. Its timers say the same, but after a stall of the event loop a connection
   * may come up before they run.
   */
  public boolean isTooLateToWrite(long now) {
    return deadlineNanos - now <= 0 || writeWithinNanos(now) <= 0;
  }

  /** Whether it was sent under this id. */
  public boolean hasRequestId(String id) {
    return call.request().id().equals(id);
  }

  /** Whether a reply whose value is still to come can be the answer to it. */
  public boolean matchesValue(ServerReply reply) {
    return hasRequestId(reply.id()) && !exchange.call().request().write();
  }

  /** Whether a reply can be the answer to it: of its request, a value for a read alone. */
  public boolean matches(ServerReply reply) {
    boolean named = reply.id() == null || hasRequestId(reply.id());
    boolean served = reply.result() == Outcome.Result.OK;
    boolean value = reply.value() != null;
    return named && (!served || value != exchange.call().request().write());
  }
}
