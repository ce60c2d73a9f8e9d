package shalepaddle.raft;

import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.exception.NotLeaderException;
import java.util.concurrent.CompletionException;

/**
 * A proposal, a read or a membership change has no result: it was rejected, or it is unknown
 * whether it was committed.
 */
public final class NotCommittedException extends Exception {
  private static final long serialVersionUID = 1;

  /** What is known of the proposal. */
  public enum Outcome {
    /** It is in no log, and never will be. */
    REJECTED,
    /** It may be committed, now or later: propose it again under the same id. */
    INDETERMINATE
  }

  private final Outcome outcome;

  /**
   * With a reason.
   *
   * @param reason for operators
   */
  public NotCommittedException(Outcome outcome, String reason) {
    super(reason);
    this.outcome = outcome;
  }

  /**
   * Translates a failure of the Raft library.
   *
   * @param member the member that failed
   */
  static NotCommittedException ofLibraryFailure(String member, Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (cause instanceof NotLeaderException) {
      return new NotCommittedException(Outcome.REJECTED, member + " does not lead");
    }
    if (cause instanceof CannotReplicateException) {
      return new NotCommittedException(
          Outcome.REJECTED, member + " accepts no more now: too much is uncommitted");
    }
    if (cause instanceof IndeterminateStateException) {
      return new NotCommittedException(
          Outcome.INDETERMINATE, member + " lost the leadership before the commit");
    }
    return new NotCommittedException(Outcome.INDETERMINATE, String.valueOf(cause.getMessage()));
  }

  /** What is known of the proposal. */
  public Outcome outcome() {
    return outcome;
  }
}
