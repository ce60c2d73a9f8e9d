package shalepaddle.raft;

/** The one thread of a member, whatever that is. What is handed in runs in order, never at once. */
public interface MemberExecutor {
  /** Runs a task after those before it. From any thread. */
  void execute(Runnable task);

  /** Runs a task in so many nanoseconds. From any thread. */
  void schedule(long nanos, Runnable task);

  /** Monotonic nanoseconds. From any thread. */
  long nanoTime();
}
