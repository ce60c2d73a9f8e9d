package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Submits calls from any thread. The rest of the engine is owned by its event loop; connections
 * that run on that loop use the {@link Dispatcher} directly.
 *
 * <p>Each call that is submitted and not cancelled gets exactly one answer, also if it is submitted
 * during or after {@link #close}. The number of calls waiting for the event loop is bounded;
 * further calls are rejected immediately. Thread-safe.
 */
public final class Engine implements AutoCloseable {
  /** A handle on a submitted call, by which the call can be cancelled. */
  public interface Ticket {
    /**
     * Cancels the call; its answer is no longer needed. May be called from any thread. The sink may
     * still be called until the event loop has processed the cancellation, and never after that. No
     * effect once the answer is given.
     */
    void cancel();
  }

  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final int maxWaitingCalls;
  private final AtomicInteger waitingCalls = new AtomicInteger();

  /**
   * Creates an engine that submits calls to a dispatcher.
   *
   * @param loop the event loop that owns the dispatcher
   * @param maxWaitingCalls the maximum number of calls waiting for that loop
   */
  public Engine(EventLoop loop, Dispatcher dispatcher, int maxWaitingCalls) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.maxWaitingCalls = maxWaitingCalls;
  }

  /**
   * Submits a call and takes ownership of its payload. The sink is called on the event loop's
   * thread, or on the calling thread if the engine is closed or too many calls are waiting. If
   * another open call has the same id, the call fails without having run.
   */
  public Ticket submit(Call call) {
    SubmittedCall ticket = new SubmittedCall(call);
    if (loop.inEventLoop()) {
      ticket.start();
      return ticket;
    }
    if (waitingCalls.incrementAndGet() > maxWaitingCalls) {
      waitingCalls.decrementAndGet();
      ticket.reject();
      return ticket;
    }
    try {
      loop.execute(
          () -> {
            waitingCalls.decrementAndGet();
            ticket.start();
          });
    } catch (RejectedExecutionException e) {
      waitingCalls.decrementAndGet();
      ticket.reject();
    }
    return ticket;
  }

  /** A call that was submitted to the dispatcher or waits for it. Owned by the event loop. */
  private final class SubmittedCall implements Ticket {
    private final Call call;
    private final long submittedAtNanos = loop.ticker().nanoTime();
    private Submission submission;
    private boolean isCancelled;

    SubmittedCall(Call call) {
      this.call = call;
    }

    void start() {
      if (isCancelled) {
        call.payload().release();
        return;
      }
      submission = dispatcher.submitLocal(call, submittedAtNanos);
      if (submission == null) {
        dispatcher.deliver(call, new Reply.Failed(false));
      }
    }

    /** Rejects a call that the event loop will never run. */
    void reject() {
      call.payload().release();
      dispatcher.deliver(call, new Reply.Rejected(0));
    }

    @Override
    public void cancel() {
      if (loop.inEventLoop()) {
        withdraw();
        return;
      }
      try {
        loop.execute(this::withdraw);
      } catch (RejectedExecutionException e) {
        // The engine is closed and every call is answered: there is nothing left to cancel.
      }
    }

    private void withdraw() {
      isCancelled = true;
      if (submission != null) {
        dispatcher.clientDisconnected(submission);
      }
    }
  }

  /**
   * Closes the engine. Answers every open call, with a rejection if it cannot have run, and rejects
   * calls that are submitted later. May be called from any thread; idempotent.
   */
  @Override
  public void close() {
    if (loop.inEventLoop()) {
      dispatcher.close();
      return;
    }
    try {
      loop.submit(dispatcher::close).syncUninterruptibly();
    } catch (RejectedExecutionException e) {
      // The loop is shut down; the node does that only after it has closed the dispatcher.
    }
  }
}
