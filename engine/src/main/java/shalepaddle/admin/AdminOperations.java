package shalepaddle.admin;

import java.util.function.Consumer;

/** What the admin server calls. All methods may be called from any thread, and return at once. */
public interface AdminOperations {
  /** The result of a command. */
  enum Result {
    /** It is in force from now on. */
    DONE,
    /** No such cache server is known. */
    UNKNOWN_MEMBER,
    /** The process ends, or cannot run the command. */
    UNAVAILABLE
  }

  /** Whether a request that came now would be accepted and served. */
  boolean isReady();

  /** The metrics that were published last. */
  Telemetry telemetry();

  /**
   * Excludes a cache server, or includes it again.
   *
   * @param member its id in discovery's list
   * @param done receives the result once, on any thread, unless the command is revoked first
   * @return a handle to revoke the command
   */
  Revocable exclude(String member, boolean excluded, Consumer<Result> done);

  /** A command that may not have run yet. */
  interface Revocable {
    /** Revokes it: true if it has not run, and never will; false if its result is delivered. */
    boolean revoke();
  }
}
