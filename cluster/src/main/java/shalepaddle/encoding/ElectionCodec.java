package shalepaddle.encoding;

import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import java.io.IOException;

/** Writes and reads the fields of the messages that elect a leader. */
final class ElectionCodec {
  private ElectionCodec() {}

  static void writePreVoteRequest(PreVoteRequest request, CborValues.Writer out)
      throws IOException {
    out.put(request.getLastLogTerm()).put(request.getLastLogIndex());
  }

  static PreVoteRequest readPreVoteRequest(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createPreVoteRequestBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setLastLogTerm(in.readInt())
        .setLastLogIndex(in.readLong())
        .build();
  }

  static PreVoteResponse readPreVoteResponse(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createPreVoteResponseBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setGranted(in.readBoolean())
        .build();
  }

  static void writeVoteRequest(VoteRequest request, CborValues.Writer out) throws IOException {
    out.put(request.getLastLogTerm()).put(request.getLastLogIndex()).put(request.isSticky());
  }

  static VoteRequest readVoteRequest(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createVoteRequestBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setLastLogTerm(in.readInt())
        .setLastLogIndex(in.readLong())
        .setSticky(in.readBoolean())
        .build();
  }

  static VoteResponse readVoteResponse(RaftMessageCodec.Header header, CborValues.Reader in)
      throws IOException {
    return LogEntryCodec.modelFactory()
        .createVoteResponseBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setGranted(in.readBoolean())
        .build();
  }

  static void writeTriggerElection(TriggerLeaderElectionRequest request, CborValues.Writer out)
      throws IOException {
    out.put(request.getLastLogTerm()).put(request.getLastLogIndex());
  }

  static TriggerLeaderElectionRequest readTriggerElection(
      RaftMessageCodec.Header header, CborValues.Reader in) throws IOException {
    return LogEntryCodec.modelFactory()
        .createTriggerLeaderElectionRequestBuilder()
        .setGroupId(header.group())
        .setSender(header.sender())
        .setTerm(header.term())
        .setLastLogTerm(in.readInt())
        .setLastLogIndex(in.readLong())
        .build();
  }
}
