package shalepaddle.raft;

/** The single thread of a member, with its clock. Tasks run one at a time, in order. */
public interface MemberExecutor {
  /**
   * Runs a task after the tasks that were added before it. Has no effect once the member is closed.
   * May be called from any thread.
   */
  void execute(Runnable task);

  /**
   * Runs a task once, after a delay. Has no effect once the member is closed. A periodic task
   * schedules itself again, and ends if it throws before it does so. May be called from any thread.
   */
  void schedule(long delayNanos, Runnable task);

  /** The current time in nanoseconds, on a monotonic clock. May be called from any thread. */
  long nanoTime();
}
