package shalepaddle.cluster;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import shalepaddle.raft.MemberExecutor;

/** The thread of a member that runs as a process. Thread-safe. */
final class MemberThread implements MemberExecutor, AutoCloseable {
  private static final long CLOSE_TIMEOUT_SECONDS = 1;

  private final ScheduledThreadPoolExecutor executor;
  private final Consumer<String> log;

  /**
   * Starts the thread.
   *
   * @param log takes a line for each task that fails
   */
  MemberThread(Consumer<String> log) {
    this.log = log;
    executor =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread thread = new Thread(task, "member");
              thread.setDaemon(true);
              return thread;
            });
    executor.setRemoveOnCancelPolicy(true);
    executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  /**
   * The task, with a line in the log if it throws a RuntimeException. The thread goes on in any
   * case; an Error is not logged.
   */
  private Runnable logFailure(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.accept("member: " + e);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public void schedule(long nanos, Runnable task) {
    try {
      executor.schedule(logFailure(task), nanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // After close: the task has no effect any more.
    }
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  /**
   * Completes the running task and drops the others, also those that were to run at once. Blocks
   * for 1 s at most; a task that runs longer than that still goes on when this returns.
   */
  @Override
  public void close() {
    executor.shutdown();
    try {
      executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
