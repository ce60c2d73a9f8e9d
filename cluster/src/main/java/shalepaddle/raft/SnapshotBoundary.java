package shalepaddle.raft;

import io.microraft.RaftEndpoint;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Where a member's log goes on behind the snapshot from which it began.
 *
 * <p>Guards against a standstill of MicroRaft 0.7: a member that began from a snapshot and has
 * entries behind it no longer knows the term in which the snapshot ends, and turns down for good
 * what goes on there. What a snapshot ends with is committed, so every later leader has the same
 * there, and nothing has to be compared: such entries are handed on as if they went on from
 * nothing, and what is said to have come of them is set right on its way out. They tell of no
 * commit, since the library would count that from nothing as well; the next message tells it.
 *
 * <p>Thread-safe: messages come from any thread.
 */
final class SnapshotBoundary {
  private final long begunAfter;
  private RaftEndpoint asker;
  private long asked;

  /** Of a member that began from a snapshot that ends there, 0 for none. */
  SnapshotBoundary(long begunAfter) {
    this.begunAfter = begunAfter;
  }

  synchronized AppendEntriesRequest ask(AppendEntriesRequest request) {
    if (begunAfter == 0
        || request.getPreviousLogIndex() != begunAfter
        || request.getLogEntries().isEmpty()) {
      return request;
    }
    asker = request.getSender();
    asked = request.getFlowControlSequenceNumber();
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

  synchronized AppendEntriesSuccessResponse answer(
      RaftEndpoint to, AppendEntriesSuccessResponse response) {
    if (!to.equals(asker)
        || response.getFlowControlSequenceNumber() != asked
        || response.getLastLogIndex() >= begunAfter) {
      return response;
    }
    return LogEntryCodec.model()
        .createAppendEntriesSuccessResponseBuilder()
        .setGroupId(response.getGroupId())
        .setSender(response.getSender())
        .setTerm(response.getTerm())
        .setLastLogIndex(response.getLastLogIndex() + begunAfter)
        .setQuerySequenceNumber(response.getQuerySequenceNumber())
        .setFlowControlSequenceNumber(response.getFlowControlSequenceNumber())
        .build();
  }
}
