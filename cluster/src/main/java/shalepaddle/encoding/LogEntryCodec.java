package shalepaddle.encoding;

import io.microraft.MembershipChangeMode;
import io.microraft.RaftEndpoint;
import io.microraft.model.RaftModelFactory;
import io.microraft.model.groupop.UpdateRaftGroupMembersOp;
import io.microraft.model.impl.DefaultRaftModelFactory;
import io.microraft.model.log.LogEntry;
import io.microraft.model.log.RaftGroupMembersView;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;

/** The formats of log entries, snapshot chunks, terms and group configurations. */
public final class LogEntryCodec {
  /** The operation with which a leader begins its term, and of a read; it changes nothing. */
  public static final byte[] EMPTY_OPERATION = new byte[0];

  private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
  private static final int OPERATION_BYTES = 1;
  private static final int OPERATION_MEMBERSHIP_CHANGE = 2;

  private LogEntryCodec() {}

  /** Builds the library's messages and entries. */
  public static RaftModelFactory model() {
    return MODEL;
  }

  static void writeMembers(Collection<RaftEndpoint> members, CborValues.Writer out)
      throws IOException {
    out.putList(members, (member, to) -> to.put(Endpoint.nameOf(member)));
  }

  static Collection<RaftEndpoint> readMembers(CborValues.Reader in) throws IOException {
    List<RaftEndpoint> members = in.readList(from -> Endpoint.ofName(from.readText()));
    return new LinkedHashSet<>(members);
  }

  /** Writes a group configuration: all members, and those that vote. */
  public static void writeMembersView(RaftGroupMembersView view, CborValues.Writer out)
      throws IOException {
    out.put(view.getLogIndex());
    writeMembers(view.getMembers(), out);
    writeMembers(view.getVotingMembers(), out);
  }

  /** Reads a group configuration. */
  public static RaftGroupMembersView readMembersView(CborValues.Reader in) throws IOException {
    return MODEL
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(in.readLong())
        .setMembers(readMembers(in))
        .setVotingMembers(readMembers(in))
        .build();
  }

  private static void writeOperation(Object operation, CborValues.Writer out) throws IOException {
    if (operation instanceof byte[] bytes) {
      out.put(OPERATION_BYTES).put(bytes);
    } else if (operation instanceof UpdateRaftGroupMembersOp change) {
      out.put(OPERATION_MEMBERSHIP_CHANGE);
      writeMembers(change.getMembers(), out);
      writeMembers(change.getVotingMembers(), out);
      out.put(Endpoint.nameOf(change.getEndpoint())).put(change.getMode().name());
    } else {
      throw new IOException("an operation without a format: " + operation);
    }
  }

  private static Object readOperation(CborValues.Reader in) throws IOException {
    int format = in.readInt();
    return switch (format) {
      case OPERATION_BYTES -> in.readBytes();
      case OPERATION_MEMBERSHIP_CHANGE ->
          MODEL
              .createUpdateRaftGroupMembersOpBuilder()
              .setMembers(readMembers(in))
              .setVotingMembers(readMembers(in))
              .setEndpoint(Endpoint.ofName(in.readText()))
              .setMode(MembershipChangeMode.valueOf(in.readText()))
              .build();
      default -> throw new UnknownFormatException("an entry", format);
    };
  }

  /** Writes a log entry. */
  public static void writeEntry(LogEntry entry, CborValues.Writer out) throws IOException {
    out.put(entry.getIndex()).put(entry.getTerm());
    writeOperation(entry.getOperation(), out);
  }

  /**
   * Reads a log entry.
   *
   * @throws UnknownFormatException if a later version made its operation
   */
  public static LogEntry readEntry(CborValues.Reader in) throws IOException {
    return MODEL
        .createLogEntryBuilder()
        .setIndex(in.readLong())
        .setTerm(in.readInt())
        .setOperation(readOperation(in))
        .build();
  }

  /** Writes a chunk of a snapshot. */
  public static void writeSnapshotChunk(SnapshotChunk chunk, CborValues.Writer out)
      throws IOException {
    out.put(chunk.getIndex())
        .put(chunk.getTerm())
        .put(chunk.getSnapshotChunkIndex())
        .put(chunk.getSnapshotChunkCount());
    writeMembersView(chunk.getGroupMembersView(), out);
    writeOperation(chunk.getOperation(), out);
  }

  /** Reads a chunk of a snapshot. */
  public static SnapshotChunk readSnapshotChunk(CborValues.Reader in) throws IOException {
    return MODEL
        .createSnapshotChunkBuilder()
        .setIndex(in.readLong())
        .setTerm(in.readInt())
        .setSnapshotChunkIndex(in.readInt())
        .setSnapshotChunkCount(in.readInt())
        .setGroupMembersView(readMembersView(in))
        .setOperation(readOperation(in))
        .build();
  }

  /**
   * Whether a member votes.
   *
   * @param member its name
   */
  public static RaftEndpointPersistentState localEndpoint(String member, boolean voting) {
    return MODEL
        .createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(new Endpoint(member))
        .setVoting(voting)
        .build();
  }

  /**
   * A term.
   *
   * @param votedFor the member that has this one's vote in it, null for none
   */
  public static RaftTermPersistentState term(int term, String votedFor) {
    return MODEL
        .createRaftTermPersistentStateBuilder()
        .setTerm(term)
        .setVotedFor(Endpoint.ofName(votedFor))
        .build();
  }

  /** Writes a term and the vote in it. */
  public static void writeTerm(RaftTermPersistentState term, CborValues.Writer out)
      throws IOException {
    out.put(term.getTerm()).put(Endpoint.nameOf(term.getVotedFor()));
  }

  /** Reads a term and the vote in it. */
  public static RaftTermPersistentState readTerm(CborValues.Reader in) throws IOException {
    return term(in.readInt(), in.readText());
  }

  /** The names of members, sorted. */
  public static List<String> names(Collection<RaftEndpoint> members) {
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(Endpoint.nameOf(member)));
    names.sort(null);
    return names;
  }
}
