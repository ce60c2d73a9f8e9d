package shalepaddle.raft;

/** The single thread of a member, with its clock. Tasks run one at a time, in order. */
public interface MemberExecutor {
  /** Runs a task after those before it. May be called from any thread. */
  void execute(Runnable task);

  /** Runs a task after so many nanoseconds. May be called from any thread. */
  void schedule(long nanos, Runnable task);

  /** Monotonic nanoseconds. May be called from any thread. */
  long nanoTime();
}
