package shalepaddle.admin;

import java.util.function.Consumer;

/** What a door leads to. All methods may be called from any thread, and return at once. */
public interface AdminOperations {
  /** What became of a command. */
  enum Result {
    /** It holds from now on. */
    DONE,
    /** No such cache server is known. */
    UNKNOWN_MEMBER,
    /** The process ends, or can not carry it out. */
    UNAVAILABLE
  }

  /** Whether a request that came now would be taken and served. */
  boolean isReady();

  /** The newest figures. */
  Telemetry telemetry();

  /**
   * Leaves a cache server out, or puts it back.
   *
   * @param member its id, as discovery has it
   * @param done is told once, from any thread, unless the command is called off first
   * @return calls it off: true if it has not been carried out, and then it never is
   */
  Revocable exclude(String member, boolean out, Consumer<Result> done);

  /** A command that may not have been carried out. */
  interface Revocable {
    /** Whether it was called off: if not, its result has come or is on its way. */
    boolean revoke();
  }
}
