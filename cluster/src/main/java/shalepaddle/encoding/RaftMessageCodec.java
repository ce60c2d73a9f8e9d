package shalepaddle.encoding;

import io.microraft.RaftEndpoint;
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

/**
 * Encodes and decodes Raft messages. Each consists of the number of its format, a header that all
 * messages have, and the fields of its format, which {@link AppendEntriesCodec}, {@link
 * ElectionCodec} and {@link InstallSnapshotCodec} write and read.
 */
public final class RaftMessageCodec {
  private static final int APPEND_ENTRIES_REQUEST_FORMAT = 1;
  private static final int APPEND_ENTRIES_SUCCESS_FORMAT = 2;
  private static final int APPEND_ENTRIES_FAILURE_FORMAT = 3;
  private static final int PRE_VOTE_REQUEST_FORMAT = 4;
  private static final int PRE_VOTE_RESPONSE_FORMAT = 5;
  private static final int VOTE_REQUEST_FORMAT = 6;
  private static final int VOTE_RESPONSE_FORMAT = 7;
  private static final int TRIGGER_ELECTION_FORMAT = 8;
  private static final int INSTALL_SNAPSHOT_REQUEST_FORMAT = 9;
  private static final int INSTALL_SNAPSHOT_RESPONSE_FORMAT = 10;

  private RaftMessageCodec() {}

  /** The fields that every message has, after the number of its format. */
  record Header(String group, RaftEndpoint sender, int term) {
    static Header of(RaftMessage message) {
      return new Header((String) message.getGroupId(), message.getSender(), message.getTerm());
    }

    void write(CborValues.Writer out) throws IOException {
      out.put(group).put(Endpoint.nameOf(sender)).put(term);
    }

    static Header read(CborValues.Reader in) throws IOException {
      return new Header(in.readText(), Endpoint.ofName(in.readText()), in.readInt());
    }
  }

  /**
   * Encodes a message.
   *
   * @throws java.io.UncheckedIOException if the message, or an operation in it, has no format
   */
  public static byte[] encode(RaftMessage message) {
    return CborValues.encode(message, RaftMessageCodec::write);
  }

  /**
   * Decodes a message.
   *
   * @throws UnknownFormatException if the message has a format of a later version
   * @throws MalformedMessageException if the bytes are not a Raft message
   */
  public static RaftMessage decode(byte[] bytes) throws IOException {
    return CborValues.decode(bytes, RaftMessageCodec::read);
  }

  private static CborValues.Writer writeHeader(
      int format, RaftMessage message, CborValues.Writer out) throws IOException {
    out.put(format);
    Header.of(message).write(out);
    return out;
  }

  private static void write(RaftMessage message, CborValues.Writer out) throws IOException {
    if (message instanceof AppendEntriesRequest request) {
      AppendEntriesCodec.writeRequest(
          request, writeHeader(APPEND_ENTRIES_REQUEST_FORMAT, message, out));
    } else if (message instanceof AppendEntriesSuccessResponse response) {
      AppendEntriesCodec.writeSuccess(
          response, writeHeader(APPEND_ENTRIES_SUCCESS_FORMAT, message, out));
    } else if (message instanceof AppendEntriesFailureResponse response) {
      AppendEntriesCodec.writeFailure(
          response, writeHeader(APPEND_ENTRIES_FAILURE_FORMAT, message, out));
    } else if (message instanceof PreVoteRequest request) {
      ElectionCodec.writePreVoteRequest(
          request, writeHeader(PRE_VOTE_REQUEST_FORMAT, message, out));
    } else if (message instanceof PreVoteResponse response) {
      writeHeader(PRE_VOTE_RESPONSE_FORMAT, message, out).put(response.isGranted());
    } else if (message instanceof VoteRequest request) {
      ElectionCodec.writeVoteRequest(request, writeHeader(VOTE_REQUEST_FORMAT, message, out));
    } else if (message instanceof VoteResponse response) {
      writeHeader(VOTE_RESPONSE_FORMAT, message, out).put(response.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest request) {
      ElectionCodec.writeTriggerElection(
          request, writeHeader(TRIGGER_ELECTION_FORMAT, message, out));
    } else if (message instanceof InstallSnapshotRequest request) {
      InstallSnapshotCodec.writeRequest(
          request, writeHeader(INSTALL_SNAPSHOT_REQUEST_FORMAT, message, out));
    } else if (message instanceof InstallSnapshotResponse response) {
      InstallSnapshotCodec.writeResponse(
          response, writeHeader(INSTALL_SNAPSHOT_RESPONSE_FORMAT, message, out));
    } else {
      throw new IOException("no format is defined for the message " + message);
    }
  }

  private static RaftMessage read(CborValues.Reader in) throws IOException {
    int format = in.readInt();
    Header header = Header.read(in);
    return switch (format) {
      case APPEND_ENTRIES_REQUEST_FORMAT -> AppendEntriesCodec.readRequest(header, in);
      case APPEND_ENTRIES_SUCCESS_FORMAT -> AppendEntriesCodec.readSuccess(header, in);
      case APPEND_ENTRIES_FAILURE_FORMAT -> AppendEntriesCodec.readFailure(header, in);
      case PRE_VOTE_REQUEST_FORMAT -> ElectionCodec.readPreVoteRequest(header, in);
      case PRE_VOTE_RESPONSE_FORMAT -> ElectionCodec.readPreVoteResponse(header, in);
      case VOTE_REQUEST_FORMAT -> ElectionCodec.readVoteRequest(header, in);
      case VOTE_RESPONSE_FORMAT -> ElectionCodec.readVoteResponse(header, in);
      case TRIGGER_ELECTION_FORMAT -> ElectionCodec.readTriggerElection(header, in);
      case INSTALL_SNAPSHOT_REQUEST_FORMAT -> InstallSnapshotCodec.readRequest(header, in);
      case INSTALL_SNAPSHOT_RESPONSE_FORMAT -> InstallSnapshotCodec.readResponse(header, in);
      default -> throw new UnknownFormatException("a message", format);
    };
  }
}
