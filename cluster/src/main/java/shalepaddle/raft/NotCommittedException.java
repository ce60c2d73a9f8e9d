package shalepaddle.raft;

import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.exception.NotLeaderException;
import java.util.concurrent.CompletionException;

/**
 * A proposal, a read or a membership change failed: it was rejected, or it is unknown whether it
 * was committed.
 */
public final class NotCommittedException extends Exception {
  private static final long serialVersionUID = 1;

  /** Whether a failed proposal may have been committed. */
  public enum Outcome {
    /** The proposal is in no log and will never be committed. */
    REJECTED,
    /**
     * The proposal may have been committed, or may be committed later. It should be proposed again
     * under the same id.
     */
    INDETERMINATE
  }

  private final Outcome outcome;

  /**
   * Creates a failure.
   *
   * @param reason the reason of the failure, shown to operators
   */
  public NotCommittedException(Outcome outcome, String reason) {
    super(reason);
    this.outcome = outcome;
  }

  /**
   * Translates a failure of the Raft library, MicroRaft.
   *
   * @param member the name of the member on which MicroRaft failed, for the message
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

  /** Whether the proposal may have been committed. */
  public Outcome outcome() {
    return outcome;
  }
}
