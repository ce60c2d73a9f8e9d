package shalepaddle.admin;

import java.util.function.Consumer;

/** The operations that the admin server calls. All are thread-safe and do not block. */
public interface AdminOperations {
  /** The result of a command. */
  enum Result {
    /** The command has been applied. */
    DONE,
    /** No such cache server is known. */
    UNKNOWN_MEMBER,
    /** The command cannot be run, since the process is shutting down. */
    UNAVAILABLE
  }

  /** Whether the node accepts and serves new requests. */
  boolean isReady();

  /** The metrics that were published last. */
  Telemetry telemetry();

  /**
   * Excludes a cache server, or includes it again.
   *
   * @param member the server's id in discovery's list
   * @param isExcluded true to exclude the server, false to include it
   * @param onResult receives the result once, on any thread, unless the command is revoked first
   * @return a handle to revoke the command
   */
  Revocable setExcluded(String member, boolean isExcluded, Consumer<Result> onResult);

  /** A command that can be revoked until it has run. */
  interface Revocable {
    /**
     * Revokes the command. Returns true if the command has not run and never will, false if its
     * result is delivered.
     */
    boolean revoke();
  }
}
