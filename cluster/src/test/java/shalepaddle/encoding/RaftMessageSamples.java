package shalepaddle.encoding;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.RaftMessage;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/** One message of each kind that members of a Raft group send, with distinct field values. */
final class RaftMessageSamples {
  private static final RaftModelFactory MODEL = LogEntryCodec.modelFactory();
  private static final Endpoint SENDER = new Endpoint("m1");
  private static final Collection<RaftEndpoint> MEMBERS =
      new LinkedHashSet<>(List.of(SENDER, new Endpoint("m2"), new Endpoint("m3")));

  private RaftMessageSamples() {}

  /** All messages, in the order of their format numbers. */
  static List<RaftMessage> allMessages() {
    List<RaftMessage> messages = new ArrayList<>(appendEntriesMessages());
    messages.addAll(electionMessages());
    messages.addAll(installSnapshotMessages());
    return messages;
  }

  private static List<RaftMessage> appendEntriesMessages() {
    return List.of(
        MODEL
            .createAppendEntriesRequestBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(5)
            .setPreviousLogTerm(4)
            .setPreviousLogIndex(12)
            .setCommitIndex(10)
            .setLogEntries(List.of(entry(), membershipChange()))
            .setQuerySequenceNumber(300)
            .setFlowControlSequenceNumber(70_000)
            .build(),
        MODEL
            .createAppendEntriesSuccessResponseBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(5)
            .setLastLogIndex(14)
            .setQuerySequenceNumber(300)
            .setFlowControlSequenceNumber(70_000)
            .build(),
        MODEL
            .createAppendEntriesFailureResponseBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(5)
            .setExpectedNextIndex(9)
            .setQuerySequenceNumber(301)
            .setFlowControlSequenceNumber(70_001)
            .build());
  }

  private static List<RaftMessage> electionMessages() {
    return List.of(
        MODEL
            .createPreVoteRequestBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setLastLogTerm(5)
            .setLastLogIndex(14)
            .build(),
        MODEL
            .createPreVoteResponseBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setGranted(true)
            .build(),
        MODEL
            .createVoteRequestBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setLastLogTerm(5)
            .setLastLogIndex(14)
            .setSticky(true)
            .build(),
        MODEL
            .createVoteResponseBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setGranted(false)
            .build(),
        MODEL
            .createTriggerLeaderElectionRequestBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setLastLogTerm(5)
            .setLastLogIndex(14)
            .build());
  }

  private static List<RaftMessage> installSnapshotMessages() {
    return List.of(
        MODEL
            .createInstallSnapshotRequestBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setSenderLeader(true)
            .setSnapshotTerm(3)
            .setSnapshotIndex(12)
            .setTotalSnapshotChunkCount(2)
            .setSnapshotChunk(snapshotChunk())
            .setSnapshottedMembers(MEMBERS)
            .setGroupMembersView(membersView())
            .setQuerySequenceNumber(302)
            .setFlowControlSequenceNumber(70_002)
            .build(),
        MODEL
            .createInstallSnapshotResponseBuilder()
            .setGroupId("birds")
            .setSender(SENDER)
            .setTerm(6)
            .setSnapshotIndex(12)
            .setRequestedSnapshotChunkIndex(1)
            .setQuerySequenceNumber(302)
            .setFlowControlSequenceNumber(70_002)
            .build());
  }

  private static RaftGroupMembersView membersView() {
    return MODEL
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(11)
        .setMembers(MEMBERS)
        .setVotingMembers(List.of(SENDER))
        .build();
  }

  private static SnapshotChunk snapshotChunk() {
    return MODEL
        .createSnapshotChunkBuilder()
        .setIndex(12)
        .setTerm(3)
        .setSnapshotChunkIndex(1)
        .setSnapshotChunkCount(2)
        .setGroupMembersView(membersView())
        .setOperation(new byte[] {5, 6})
        .build();
  }

  private static LogEntry entry() {
    return MODEL
        .createLogEntryBuilder()
        .setIndex(13)
        .setTerm(4)
        .setOperation(new byte[] {7})
        .build();
  }

  private static LogEntry membershipChange() {
    return MODEL
        .createLogEntryBuilder()
        .setIndex(14)
        .setTerm(4)
        .setOperation(
            MODEL
                .createUpdateRaftGroupMembersOpBuilder()
                .setMembers(MEMBERS)
                .setVotingMembers(List.of(SENDER))
                .setEndpoint(new Endpoint("m2"))
                .setMode(MembershipChangeMode.REMOVE_MEMBER)
                .build())
        .build();
  }
}
