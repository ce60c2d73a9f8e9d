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
   * @param log receives a line for each task that fails
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
   * Wraps a task to log a RuntimeException that it throws. The thread runs further tasks in any
   * case; an Error is not logged.
   */
  private Runnable logFailure(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (RuntimeException e) {
        log.accept("a task on the member's thread failed: " + e);
      }
    };
  }

  @Override
  public void execute(Runnable task) {
    schedule(0, task);
  }

  @Override
  public void schedule(long delayNanos, Runnable task) {
    try {
      executor.schedule(logFailure(task), delayNanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // The member is closed, so the task is dropped.
    }
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  /**
   * Lets the running task complete and drops all waiting tasks, including those without a delay.
   * Blocks for at most 1 s; a task that takes longer still runs when this method returns.
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
