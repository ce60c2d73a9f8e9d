package shalepaddle.raft;

import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.exception.NotLeaderException;
import java.util.concurrent.CompletionException;

/** A proposal, a read or a membership change was not committed, or nobody knows whether. */
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
      return new NotCommittedException(Outcome.REJECTED, "too much waits for the majority");
    }
    if (cause instanceof IndeterminateStateException) {
      return new NotCommittedException(Outcome.INDETERMINATE, member + " lost its lead meanwhile");
    }
    return new NotCommittedException(Outcome.INDETERMINATE, String.valueOf(cause.getMessage()));
  }

  /** What is known of the proposal. */
  public Outcome outcome() {
    return outcome;
  }
}
