package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Submits calls from any thread. All else of an engine is owned by its event loop; connections that
 * run there use the {@link Dispatcher} itself.
 *
 * <p>Each call that is submitted and not cancelled gets exactly one answer, also one that races
 * {@link #close} or comes after it. Calls that wait for the event loop are bounded; those past the
 * bound are rejected at once. Thread-safe.
 */
public final class Engine implements AutoCloseable {
  /** A call that was submitted. */
  public interface Ticket {
    /**
     * The answer is not wanted any more. From any thread. The sink may still be called until the
     * event loop has run this, and never after that. No effect once the answer is given.
     */
    void cancel();
  }

  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final int maxSubmitted;
  private final AtomicInteger submitted = new AtomicInteger();

  /**
   * An engine in front of a dispatcher.
   *
   * @param loop the event loop that owns the dispatcher
   * @param maxSubmitted calls that may wait for that loop
   */
  public Engine(EventLoop loop, Dispatcher dispatcher, int maxSubmitted) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.maxSubmitted = maxSubmitted;
  }

  /**
   * Submits a call. The engine owns its payload from now on. Its sink is called on the event loop's
   * thread, or on this one where the engine is closed or too many calls wait. A call fails, without
   * having run, where another open call has its id.
   */
  public Ticket submit(Call call) {
    Submitted ticket = new Submitted(call);
    if (loop.inEventLoop()) {
      ticket.start();
      return ticket;
    }
    if (submitted.incrementAndGet() > maxSubmitted) {
      submitted.decrementAndGet();
      ticket.reject();
      return ticket;
    }
    try {
      loop.execute(
          () -> {
            submitted.decrementAndGet();
            ticket.start();
          });
    } catch (RejectedExecutionException e) {
      submitted.decrementAndGet();
      ticket.reject();
    }
    return ticket;
  }

  /** A call on its way to the dispatcher, or there. Its state is owned by the event loop. */
  private final class Submitted implements Ticket {
    private final Call call;
    private final long submittedAtNanos = loop.ticker().nanoTime();
    private Submission submission;
    private boolean cancelled;

    Submitted(Call call) {
      this.call = call;
    }

    void start() {
      if (cancelled) {
        call.payload().release();
        return;
      }
      submission = dispatcher.submitLocal(call, submittedAtNanos);
      if (submission == null) {
        dispatcher.deliver(call, new Reply.Failed(false));
      }
    }

    /** Answers a call that the event loop will never run. */
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
        // The engine is closed and every call answered: there is nothing left to cancel.
      }
    }

    private void withdraw() {
      cancelled = true;
      if (submission != null) {
        dispatcher.clientDisconnected(submission);
      }
    }
  }

  /**
   * Closes the engine: every open call gets its one answer, a rejection where it can not have run,
   * and calls that are submitted later are rejected. From any thread; idempotent.
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
      // The loop is shut down, which the node does only after it has closed the dispatcher.
    }
  }
}
