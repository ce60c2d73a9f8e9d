package shalepaddle.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Lets a member that was restored from a snapshot accept the entries that follow it.
 *
 * <p>MicroRaft 0.7 does not restore the term in which the snapshot ends if entries follow it, and
 * then rejects for good what a leader appends there. The snapshot is committed, so every later
 * leader has the same entry at its end and the term needs no check: such a request is passed on as
 * if the log began with it, and the index in its response is corrected. The request's commit index
 * is left out, since the library would apply it to the shifted log; the next request brings it.
 *
 * <p>Thread-safe: messages come and go on any thread.
 */
final class SnapshotBoundary {
  private final long snapshotIndex;

  // Of the last request that was adjusted.
  private RaftEndpoint requestSender;
  private long requestSequenceNumber;

  /**
   * The boundary of a member that starts now.
   *
   * @param snapshotIndex the last index of the snapshot it was restored from, 0 for none
   */
  SnapshotBoundary(long snapshotIndex) {
    this.snapshotIndex = snapshotIndex;
  }

  /** The request to hand to the library. */
  synchronized AppendEntriesRequest adjustRequest(AppendEntriesRequest request) {
    if (snapshotIndex == 0
        || request.getPreviousLogIndex() != snapshotIndex
        || request.getLogEntries().isEmpty()) {
      return request;
    }
    requestSender = request.getSender();
    requestSequenceNumber = request.getFlowControlSequenceNumber();
    return LogEntryCodec.model()
        .createAppendEntriesRequestBuilder()
        .setGroupId(request.getGroupId())
        .setSender(request.getSender())
        .setTerm(request.getTerm())
        .setPreviousLogTerm(0)
        .setPreviousLogIndex(0)
        .setCommitIndex(0)
        .setLogEntries(request.getLogEntries())
        .setQuerySequenceNumber(request.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(request.getFlowControlSequenceNumber())
        .build();
  }

  /** The response to send for the library's. */
  synchronized AppendEntriesSuccessResponse adjustResponse(
      RaftEndpoint target, AppendEntriesSuccessResponse response) {
    if (!target.equals(requestSender)
        || response.getFlowControlSequenceNumber() != requestSequenceNumber
        || response.getLastLogIndex() >= snapshotIndex) {
      return response;
    }
    return LogEntryCodec.model()
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId(response.getGroupId())
        .setSender(response.getSender())
        .setTerm(response.getTerm())
        .setLastLogIndex(response.getLastLogIndex() + snapshotIndex)
        .setQuerySequenceNumber(response.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(response.getFlowControlSequenceNumber())
        .build();
  }
}
