package shalepaddle.node;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.ThreadFactory;
import shalepaddle.loop.Log;

/**
 * Creates the threads of event loops, and reports a loop that ends before {@link #allowShutdown} as
 * failed: the process would look healthy but answer no request, and must be restarted. Thread-safe.
 */
final class EventLoopThreads implements ThreadFactory {
  /** The exit code of a process whose event loop has failed. */
  static final int LOOP_FAILURE_EXIT_CODE = 70;

  private final Log log;
  private final Runnable onFailure;
  private volatile boolean isShutdownAllowed;

  /**
   * Creates a factory for the threads of one group of loops.
   *
   * @param onFailure runs on the failed thread, after the failure was logged
   */
  EventLoopThreads(Log log, Runnable onFailure) {
    this.log = log;
    this.onFailure = onFailure;
  }

  /** From now on the end of a loop is not a failure. */
  void allowShutdown() {
    isShutdownAllowed = true;
  }

  @Override
  public Thread newThread(Runnable loop) {
    return new FastThreadLocalThread(() -> runLoop(loop), "event-loop");
  }

  private void runLoop(Runnable loop) {
    Throwable cause = null;
    try {
      loop.run();
    } catch (Throwable e) {
      cause = e;
    }
    if (!isShutdownAllowed) {
      try {
        log.writeLine("event=event_loop_failed cause=" + cause);
      } finally {
        onFailure.run();
      }
    }
  }
}
