package shalepaddle.raft;

/** The single thread of a member, with its clock. Tasks run one at a time, in order. */
public interface MemberExecutor {
  /**
   * Runs a task after those before it; never once the member is closed. May be called from any
   * thread.
   */
  void execute(Runnable task);

  /**
   * Runs a task once, after so many nanoseconds; never once the member is closed. A periodic task
   * schedules itself again, and ends if it throws before that. May be called from any thread.
   */
  void schedule(long nanos, Runnable task);

  /** Monotonic nanoseconds. May be called from any thread. */
  long nanoTime();
}
