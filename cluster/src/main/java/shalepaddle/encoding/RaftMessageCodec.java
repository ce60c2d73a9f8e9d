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
 * The formats of the messages of Raft: the number of the format, a header that all have, and the
 * fields of each. {@link AppendEntriesCodec}, {@link ElectionCodec} and {@link
 * InstallSnapshotCodec} have the fields.
 */
public final class RaftMessageCodec {
  private static final int APPEND_ENTRIES_REQUEST = 1;
  private static final int APPEND_ENTRIES_SUCCESS = 2;
  private static final int APPEND_ENTRIES_FAILURE = 3;
  private static final int PRE_VOTE_REQUEST = 4;
  private static final int PRE_VOTE_RESPONSE = 5;
  private static final int VOTE_REQUEST = 6;
  private static final int VOTE_RESPONSE = 7;
  private static final int TRIGGER_ELECTION = 8;
  private static final int INSTALL_SNAPSHOT_REQUEST = 9;
  private static final int INSTALL_SNAPSHOT_RESPONSE = 10;

  private RaftMessageCodec() {}

  /** What each message begins with. */
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
   * The bytes of a message.
   *
   * @throws java.io.UncheckedIOException if the message, or an operation in it, has no format
   */
  public static byte[] encode(RaftMessage message) {
    return CborValues.encode(message, RaftMessageCodec::write);
  }

  /**
   * A message.
   *
   * @throws UnknownFormatException if a later version made it
   * @throws MalformedMessageException if the bytes are not a Raft message
   */
  public static RaftMessage decode(byte[] bytes) throws IOException {
    return CborValues.decode(bytes, RaftMessageCodec::read);
  }

  private static CborValues.Writer begin(int format, RaftMessage message, CborValues.Writer out)
      throws IOException {
    out.put(format);
    Header.of(message).write(out);
    return out;
  }

  private static void write(RaftMessage message, CborValues.Writer out) throws IOException {
    if (message instanceof AppendEntriesRequest request) {
      AppendEntriesCodec.writeRequest(request, begin(APPEND_ENTRIES_REQUEST, message, out));
    } else if (message instanceof AppendEntriesSuccessResponse response) {
      AppendEntriesCodec.writeSuccess(response, begin(APPEND_ENTRIES_SUCCESS, message, out));
    } else if (message instanceof AppendEntriesFailureResponse response) {
      AppendEntriesCodec.writeFailure(response, begin(APPEND_ENTRIES_FAILURE, message, out));
    } else if (message instanceof PreVoteRequest request) {
      ElectionCodec.writePreVoteRequest(request, begin(PRE_VOTE_REQUEST, message, out));
    } else if (message instanceof PreVoteResponse response) {
      begin(PRE_VOTE_RESPONSE, message, out).put(response.isGranted());
    } else if (message instanceof VoteRequest request) {
      ElectionCodec.writeVoteRequest(request, begin(VOTE_REQUEST, message, out));
    } else if (message instanceof VoteResponse response) {
      begin(VOTE_RESPONSE, message, out).put(response.isGranted());
    } else if (message instanceof TriggerLeaderElectionRequest request) {
      ElectionCodec.writeTriggerElection(request, begin(TRIGGER_ELECTION, message, out));
    } else if (message instanceof InstallSnapshotRequest request) {
      InstallSnapshotCodec.writeRequest(request, begin(INSTALL_SNAPSHOT_REQUEST, message, out));
    } else if (message instanceof InstallSnapshotResponse response) {
      InstallSnapshotCodec.writeResponse(response, begin(INSTALL_SNAPSHOT_RESPONSE, message, out));
    } else {
      throw new IOException("a message without a format: " + message);
    }
  }

  private static RaftMessage read(CborValues.Reader in) throws IOException {
    int format = in.readInt();
    Header header = Header.read(in);
    return switch (format) {
      case APPEND_ENTRIES_REQUEST -> AppendEntriesCodec.readRequest(header, in);
      case APPEND_ENTRIES_SUCCESS -> AppendEntriesCodec.readSuccess(header, in);
      case APPEND_ENTRIES_FAILURE -> AppendEntriesCodec.readFailure(header, in);
      case PRE_VOTE_REQUEST -> ElectionCodec.readPreVoteRequest(header, in);
      case PRE_VOTE_RESPONSE -> ElectionCodec.readPreVoteResponse(header, in);
      case VOTE_REQUEST -> ElectionCodec.readVoteRequest(header, in);
      case VOTE_RESPONSE -> ElectionCodec.readVoteResponse(header, in);
      case TRIGGER_ELECTION -> ElectionCodec.readTriggerElection(header, in);
      case INSTALL_SNAPSHOT_REQUEST -> InstallSnapshotCodec.readRequest(header, in);
      case INSTALL_SNAPSHOT_RESPONSE -> InstallSnapshotCodec.readResponse(header, in);
      default -> throw new UnknownFormatException("a message", format);
    };
  }
}
