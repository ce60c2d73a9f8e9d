package shalepaddle.upstream;

import shalepaddle.engine.Attempt;

/** What a connection expects from the server next. Owned by the connection, on its event loop. */
sealed interface ReplyPhase
    permits ReplyPhase.AwaitingReply, ReplyPhase.FirstRequestRejected, StreamedReply {
  /** The start of the next reply, if any is pending. */
  ReplyPhase AWAITING_REPLY = new AwaitingReply();

  /** See {@link #AWAITING_REPLY}. */
  record AwaitingReply() implements ReplyPhase {}

  /**
   * A possible close by the server: the first request was rejected, and is detached from the
   * connection until it is known whether the server rejected the request or the connection.
   */
  record FirstRequestRejected(Attempt attempt) implements ReplyPhase {}
}
