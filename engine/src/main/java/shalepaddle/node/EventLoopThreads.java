package shalepaddle.node;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.ThreadFactory;
import shalepaddle.loop.Log;

/**
 * Creates the threads of event loops, and detects a loop that ends before {@link #allowShutdown}:
 * its process has failed, since it looks healthy and answers nobody, and must be restarted.
 * Thread-safe.
 */
final class EventLoopThreads implements ThreadFactory {
  /** The exit code of a process whose event loop has failed. */
  static final int EXIT_CODE = 70;

  private final Log log;
  private final Runnable onFailure;
  private volatile boolean shutdownAllowed;

  /**
   * For one group of loops.
   *
   * @param onFailure runs on the thread that has failed, after the failure was logged
   */
  EventLoopThreads(Log log, Runnable onFailure) {
    this.log = log;
    this.onFailure = onFailure;
  }

  /** From now on a loop that ends has not failed. */
  void allowShutdown() {
    shutdownAllowed = true;
  }

  @Override
  public Thread newThread(Runnable loop) {
    return new FastThreadLocalThread(() -> run(loop), "event-loop");
  }

  private void run(Runnable loop) {
    Throwable cause = null;
    try {
      loop.run();
    } catch (Throwable e) {
      cause = e;
    }
    if (!shutdownAllowed) {
      try {
        log.line("event=event_loop_failed cause=" + cause);
      } finally {
        onFailure.run();
      }
    }
  }
}
