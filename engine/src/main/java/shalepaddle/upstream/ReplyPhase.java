package shalepaddle.upstream;

import shalepaddle.engine.Attempt;

/** What a connection expects from its server next. Owned by the connection, on its event loop. */
sealed interface ReplyPhase
    permits ReplyPhase.AwaitingReply, ReplyPhase.FirstRequestRejected, StreamedReply {
  /** The beginning of the next reply, if any is due. */
  ReplyPhase AWAITING_REPLY = new AwaitingReply();

  /** See {@link #AWAITING_REPLY}. */
  record AwaitingReply() implements ReplyPhase {}

  /**
   * The server's close, or none: the first request was rejected, and was taken off the connection
   * until it is known whether the connection itself was meant.
   */
  record FirstRequestRejected(Attempt attempt) implements ReplyPhase {}
}
