package shalepaddle.node;

import io.netty.util.concurrent.FastThreadLocalThread;
import java.util.concurrent.ThreadFactory;
import shalepaddle.loop.Log;

/**
 * Makes the thread of an event loop. A thread that ends though its loop was not told to end has
 * failed, and with it the process: whoever supervises it must start it anew, since a process that
 * lives on without its loop looks healthy and answers nobody.
 */
final class EventLoopThreads implements ThreadFactory {
  /** The exit code of a process whose event loop has failed. */
  static final int EXIT_CODE = 70;

  private final Log log;
  private final Runnable failed;
  private volatile boolean ending;

  /**
   * For one group of loops.
   *
   * @param failed run, on the thread that has failed, after the log was written
   */
  EventLoopThreads(Log log, Runnable failed) {
    this.log = log;
    this.failed = failed;
  }

  /** From now on loops may end. */
  void allowShutdown() {
    ending = true;
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
    if (!ending) {
      try {
        log.line("event=event_loop_failed cause=" + cause);
      } finally {
        failed.run();
      }
    }
  }
}
