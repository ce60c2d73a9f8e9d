package shalepaddle.encoding;

import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;
import java.util.List;

/** The forms of what members send each other to agree. */
public final class RaftMessageCodec {
  private static final RaftModelFactory MODEL = LogEntryCodec.model();

  private RaftMessageCodec() {}

  /** A message's bytes. */
  public static byte[] message(RaftMessage message) {
    return CborValues.encode(message, RaftMessageCodec::write);
  }

  private static void write(RaftMessage message, CborValues.Writer out) throws IOException {
    if (message instanceof AppendEntriesRequest m) {
      head(1, m, out);
      out.put(m.getPreviousLogTerm()).put(m.getPreviousLogIndex()).put(m.getCommitIndex());
      out.putList(m.getLogEntries(), LogEntryCodec::entry);
      out.put(m.getQuerySequenceNumber()).put(m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesSuccessResponse m) {
      head(2, m, out);
      out.put(m.getLastLogIndex()).put(m.getQuerySequenceNumber());
      out.put(m.getFlowControlSequenceNumber());
    } else if (message instanceof AppendEntriesFailureResponse m) {
      head(3, m, out);
      out.put(m.getExpectedNextIndex()).put(m.getQuerySequenceNumber());
      out.put(m.getFlowControlSequenceNumber());
    } else if (message instanceof PreVoteRequest m) {
      head(4, m, out);
      out.put(m.getLastLogTerm()).put(m.getLastLogIndex());
    } else if (message instanceof PreVoteResponse m) {
      head(5, m, out);
      out.put(m.isGranted());
    } else if (message instanceof VoteRequest m) {
      head(6, m, out);
      out.put(m.getLastLogTerm()).put(m.getLastLogIndex()).put(m.isSticky());
    } else if (message instanceof VoteResponse m) {
      head(7, m, out);
      out.put(m.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest m) {
      head(8, m, out);
      out.put(m.getLastLogTerm()).put(m.getLastLogIndex());
    } else if (message instanceof InstallSnapshotRequest m) {
      head(9, m, out);
      out.put(m.isSenderLeader()).put(m.getSnapshotTerm()).put(m.getSnapshotIndex());
      out.put(m.getTotalSnapshotChunkCount());
      SnapshotChunk chunk = m.getSnapshotChunk();
      out.putList(chunk == null ? List.of() : List.of(chunk), LogEntryCodec::chunk);
      LogEntryCodec.members(m.getSnapshottedMembers(), out);
      LogEntryCodec.view(m.getGroupMembersView(), out);
      out.put(m.getQuerySequenceNumber()).put(m.getFlowControlSequenceNumber());
    } else if (message instanceof InstallSnapshotResponse m) {
      head(10, m, out);
      out.put(m.getSnapshotIndex()).put(m.getRequestedSnapshotChunkIndex());
      out.put(m.getQuerySequenceNumber()).put(m.getFlowControlSequenceNumber());
    } else {
      throw new IOException("no form for " + message);
    }
  }

  /** What each message begins with; the kind tells what follows. */
  private static void head(int kind, RaftMessage message, CborValues.Writer out)
      throws IOException {
    out.put(kind)
        .put((String) message.getGroupId())
        .put(Endpoint.nameOf(message.getSender()))
        .put(message.getTerm());
  }

  /**
   * A message.
   *
   * @throws IOException if it is of a form that is not known, or cut short
   */
  public static RaftMessage message(byte[] bytes) throws IOException {
    return CborValues.decode(bytes, RaftMessageCodec::read);
  }

  private static RaftMessage read(CborValues.Reader in) throws IOException {
    int kind = in.readInt();
    String group = in.readText();
    RaftEndpoint sender = Endpoint.ofName(in.readText());
    int term = in.readInt();
    return switch (kind) {
      case 1 ->
          MODEL
              .createAppendEntriesRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setPreviousLogTerm(in.readInt())
              .setPreviousLogIndex(in.readLong())
              .setCommitIndex(in.readLong())
              .setLogEntries(in.readList(LogEntryCodec::entry))
              .setQuerySequenceNumber(in.readLong())
              .setFlowControlSequenceNumber(in.readLong())
              .build();
      case 2 ->
          MODEL
              .createAppendEntriesSuccessResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogIndex(in.readLong())
              .setQuerySequenceNumber(in.readLong())
              .setFlowControlSequenceNumber(in.readLong())
              .build();
      case 3 ->
          MODEL
              .createAppendEntriesFailureResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setExpectedNextIndex(in.readLong())
              .setQuerySequenceNumber(in.readLong())
              .setFlowControlSequenceNumber(in.readLong())
              .build();
      case 4 ->
          MODEL
              .createPreVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.readInt())
              .setLastLogIndex(in.readLong())
              .build();
      case 5 ->
          MODEL
              .createPreVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setGranted(in.readBoolean())
              .build();
      case 6 ->
          MODEL
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.readInt())
              .setLastLogIndex(in.readLong())
              .setSticky(in.readBoolean())
              .build();
      case 7 ->
          MODEL
              .createVoteResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setGranted(in.readBoolean())
              .build();
      case 8 ->
          MODEL
              .createTriggerLeaderElectionRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setLastLogTerm(in.readInt())
              .setLastLogIndex(in.readLong())
              .build();
      case 9 ->
          MODEL
              .createInstallSnapshotRequestBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setSenderLeader(in.readBoolean())
              .setSnapshotTerm(in.readInt())
              .setSnapshotIndex(in.readLong())
              .setTotalSnapshotChunkCount(in.readInt())
              .setSnapshotChunk(in.readList(LogEntryCodec::chunk).stream().findFirst().orElse(null))
              .setSnapshottedMembers(LogEntryCodec.members(in))
              .setGroupMembersView(LogEntryCodec.view(in))
              .setQuerySequenceNumber(in.readLong())
              .setFlowControlSequenceNumber(in.readLong())
              .build();
      case 10 ->
          MODEL
              .createInstallSnapshotResponseBuilder()
              .setGroupId(group)
              .setSender(sender)
              .setTerm(term)
              .setSnapshotIndex(in.readLong())
              .setRequestedSnapshotChunkIndex(in.readInt())
              .setQuerySequenceNumber(in.readLong())
              .setFlowControlSequenceNumber(in.readLong())
              .build();
      default -> throw new IOException("a message of form " + kind + ", made by a later version");
    };
  }
}
