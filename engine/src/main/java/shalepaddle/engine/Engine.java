package shalepaddle.engine;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The edge at which any thread hands calls to an engine. All else of an engine belongs to its event
 * loop; a front that runs there uses the {@link Dispatcher} itself.
 *
 * <p>Each call that is submitted and not cancelled gets exactly one answer, whatever happens to the
 * engine: also one that races its {@link #close}, or comes after it. Calls that wait for the event
 * loop are bounded; those past the bound are refused at once.
 */
public final class Engine implements AutoCloseable {
  /** A call that was submitted. */
  public interface Ticket {
    /**
     * Nobody wants the answer any more. From any thread; the sink may still be called until the
     * engine's thread has heard of it, and never after that. Does nothing once the answer is given.
     */
    void cancel();
  }

  private final EventLoop loop;
  private final Dispatcher dispatcher;
  private final int maxSubmitted;
  private final AtomicInteger submitted = new AtomicInteger();

  /** The edge of this dispatcher, where so many calls at most wait for its loop. */
  public Engine(EventLoop loop, Dispatcher dispatcher, int maxSubmitted) {
    this.loop = loop;
    this.dispatcher = dispatcher;
    this.maxSubmitted = maxSubmitted;
  }

  /**
   * Hands in a call. Its payload belongs to the engine from here on; its sink is called on the
   * engine's thread, or on this one where the engine has ended or is too far behind. A call whose
   * id belongs to one that is open has failed, and did not run.
   */
  public Ticket submit(Call call) {
    Submitted ticket = new Submitted(call);
    if (loop.inEventLoop()) {
      ticket.begin();
      return ticket;
    }
    if (submitted.incrementAndGet() > maxSubmitted) {
      submitted.decrementAndGet();
      ticket.turnAway();
      return ticket;
    }
    try {
      loop.execute(
          () -> {
            submitted.decrementAndGet();
            ticket.begin();
          });
    } catch (RejectedExecutionException e) {
      submitted.decrementAndGet();
      ticket.turnAway();
    }
    return ticket;
  }

  /** A call on its way to the dispatcher, or there. Its fields belong to the event loop. */
  private final class Submitted implements Ticket {
    private final Call call;
    private final long submittedAt = loop.ticker().nanoTime();
    private Submission taken;
    private boolean cancelled;

    Submitted(Call call) {
      this.call = call;
    }

    void begin() {
      if (cancelled) {
        call.payload().release();
        return;
      }
      taken = dispatcher.submitLocal(call, submittedAt);
      if (taken == null) {
        dispatcher.deliver(call, new Reply.Failed(false));
      }
    }

    /** The loop will never see it. */
    void turnAway() {
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
        // The engine has ended, and with it every call: there is nothing left to call off.
      }
    }

    private void withdraw() {
      cancelled = true;
      if (taken != null) {
        dispatcher.clientDisconnected(taken);
      }
    }
  }

  /**
   * Ends: every call that is open gets its one answer, a refusal where it can not have run, and
   * every one that comes after it is refused. From any thread; does nothing the second time.
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
      // The loop has ended, which Node does only after the dispatcher.
    }
  }
}
