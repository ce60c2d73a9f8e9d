package shalepaddle.cluster;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import shalepaddle.raft.NotCommittedException;
import shalepaddle.raft.NotCommittedException.Outcome;
import shalepaddle.transport.RequestRejectedException;

/**
 * A failed request between members. On the wire, the error begins with a prefix that says whether
 * the request may have taken effect all the same.
 */
final class RequestFailure extends IOException {
  private static final long serialVersionUID = 1;

  private static final String REJECTED = "never";
  private static final String INDETERMINATE = "maybe";

  private RequestFailure(Outcome outcome, String reason) {
    super((outcome == Outcome.REJECTED ? REJECTED : INDETERMINATE) + ": " + reason);
  }

  /** A request that has no effect, now or later. */
  static RequestFailure rejected(String reason) {
    return new RequestFailure(Outcome.REJECTED, reason);
  }

  /** The failure of a request that was tried here. */
  static RequestFailure of(Throwable failure) {
    Throwable root = rootOf(failure);
    return new RequestFailure(
        root instanceof NotCommittedException notCommitted
            ? notCommitted.outcome()
            : Outcome.INDETERMINATE,
        root.getMessage());
  }

  /** Whether a failed request, tried here or at another member, may have taken effect. */
  static boolean mayHaveTakenEffect(Throwable failure) {
    Throwable root = rootOf(failure);
    if (root instanceof NotCommittedException notCommitted) {
      return notCommitted.outcome() != Outcome.REJECTED;
    }
    return !(root instanceof RequestRejectedException rejected)
        || !rejected.getMessage().startsWith(REJECTED);
  }

  /** Why a request failed, for operators. */
  static String reasonOf(Throwable failure) {
    return String.valueOf(rootOf(failure).getMessage());
  }

  private static Throwable rootOf(Throwable failure) {
    return failure instanceof CompletionException ? failure.getCause() : failure;
  }
}
