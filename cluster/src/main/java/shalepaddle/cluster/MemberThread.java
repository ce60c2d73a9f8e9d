package shalepaddle.cluster;

import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import shalepaddle.raft.MemberExecutor;

/** The one thread of a member that runs as a process. */
final class MemberThread implements MemberExecutor, AutoCloseable {
  private final ScheduledThreadPoolExecutor thread;
  private final Consumer<String> log;

  MemberThread(Consumer<String> log) {
    this.log = log;
    thread =
        new ScheduledThreadPoolExecutor(
            1,
            task -> {
              Thread made = new Thread(task, "member");
              made.setDaemon(true);
              return made;
            });
    thread.setRemoveOnCancelPolicy(true);
    thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
  }

  private Runnable guarded(Runnable task) {
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
      thread.schedule(guarded(task), nanos, TimeUnit.NANOSECONDS);
    } catch (RejectedExecutionException e) {
      // It has ended, and what it would have done is of no matter.
    }
  }

  @Override
  public long nanoTime() {
    return System.nanoTime();
  }

  /** Runs what it has begun to its end, and nothing more. */
  @Override
  public void close() {
    thread.shutdown();
    try {
      thread.awaitTermination(1, TimeUnit.SECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
