package shalepaddle.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Lets a member that was restored from a snapshot accept the entries that follow it.
 *
 * <p>If entries follow the snapshot, MicroRaft 0.7 does not restore the term of the snapshot's last
 * entry, and then rejects forever the entries that a leader appends right after the snapshot. The
 * snapshot is committed, so every later leader has the same entry at the snapshot's index, and the
 * term of that entry needs no check. The request is passed to MicroRaft as if the log began with
 * the request's entries, and the index in the response is corrected. The request's commit index is
 * set to 0, since MicroRaft would apply the index to the shifted log; the next request contains the
 * commit index again.
 *
 * <p>Thread-safe: messages are sent and received on any thread.
 */
final class SnapshotBoundary {
  private final long snapshotIndex;

  /** The sender of the last request whose indexes were shifted, null for none. */
  private RaftEndpoint shiftedRequestSender;

  /** The flow control sequence number of the last shifted request; its response repeats it. */
  private long shiftedRequestSequenceNumber;

  /**
   * Creates the boundary of a member that is being started.
   *
   * @param snapshotIndex the last index of the snapshot from which the member was restored, 0 for
   *     none
   */
  SnapshotBoundary(long snapshotIndex) {
    this.snapshotIndex = snapshotIndex;
  }

  /** Returns the request to pass to MicroRaft: the received request, or an adjusted copy. */
  synchronized AppendEntriesRequest adjustRequest(AppendEntriesRequest request) {
    if (snapshotIndex == 0
        || request.getPreviousLogIndex() != snapshotIndex
        || request.getLogEntries().isEmpty()) {
      return request;
    }
    shiftedRequestSender = request.getSender();
    shiftedRequestSequenceNumber = request.getFlowControlSequenceNumber();
    return LogEntryCodec.modelFactory()
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

  /** Returns the response to send: MicroRaft's, or a copy with the corrected index. */
  synchronized AppendEntriesSuccessResponse adjustResponse(
      RaftEndpoint target, AppendEntriesSuccessResponse response) {
    if (!target.equals(shiftedRequestSender)
        || response.getFlowControlSequenceNumber() != shiftedRequestSequenceNumber
        || response.getLastLogIndex() >= snapshotIndex) {
      return response;
    }
    return LogEntryCodec.modelFactory()
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
