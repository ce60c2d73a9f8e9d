package shalepaddle.cluster;

import java.io.IOException;
import java.util.concurrent.CompletionException;
import shalepaddle.raft.NotCommittedException;
import shalepaddle.raft.NotCommittedException.Outcome;
import shalepaddle.transport.RequestRejectedException;

/**
 * A failed request between members. On the wire, the error begins with a prefix that says whether
 * the request may have taken effect nevertheless.
 */
final class RequestFailure extends IOException {
  private static final long serialVersionUID = 1;

  private static final String REJECTED_PREFIX = "never";
  private static final String INDETERMINATE_PREFIX = "maybe";

  private RequestFailure(Outcome outcome, String reason) {
    super((outcome == Outcome.REJECTED ? REJECTED_PREFIX : INDETERMINATE_PREFIX) + ": " + reason);
  }

  /** The failure of a request that has no effect, now or later. */
  static RequestFailure rejected(String reason) {
    return new RequestFailure(Outcome.REJECTED, reason);
  }

  /** The failure of a request that was executed at this member. */
  static RequestFailure of(Throwable failure) {
    Throwable rootCause = rootCauseOf(failure);
    return new RequestFailure(
        rootCause instanceof NotCommittedException notCommittedException
            ? notCommittedException.outcome()
            : Outcome.INDETERMINATE,
        rootCause.getMessage());
  }

  /** Whether a failed request, executed at this or another member, may have taken effect. */
  static boolean mayHaveTakenEffect(Throwable failure) {
    Throwable rootCause = rootCauseOf(failure);
    if (rootCause instanceof NotCommittedException notCommittedException) {
      return notCommittedException.outcome() != Outcome.REJECTED;
    }
    return !(rootCause instanceof RequestRejectedException rejection)
        || !rejection.getMessage().startsWith(REJECTED_PREFIX);
  }

  /** The reason why a request failed, for operators. */
  static String reasonOf(Throwable failure) {
    return String.valueOf(rootCauseOf(failure).getMessage());
  }

  private static Throwable rootCauseOf(Throwable failure) {
    return failure instanceof CompletionException ? failure.getCause() : failure;
  }
}
