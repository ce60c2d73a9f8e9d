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

/** Writes and reads log entries, snapshot chunks, terms and group configurations. */
public final class LogEntryCodec {
  /** The operation of a read, and of the first entry in a leader's term. It changes nothing. */
  public static final byte[] EMPTY_OPERATION = new byte[0];

  private static final RaftModelFactory MODEL_FACTORY = new DefaultRaftModelFactory();
  private static final int BYTES_OPERATION_FORMAT = 1;
  private static final int MEMBERSHIP_CHANGE_FORMAT = 2;

  private LogEntryCodec() {}

  /** The factory for MicroRaft's messages, entries and persistent states. */
  public static RaftModelFactory modelFactory() {
    return MODEL_FACTORY;
  }

  static void writeMembers(Collection<RaftEndpoint> members, CborValues.Writer out)
      throws IOException {
    out.putList(members, (member, to) -> to.put(Endpoint.nameOf(member)));
  }

  static Collection<RaftEndpoint> readMembers(CborValues.Reader in) throws IOException {
    List<RaftEndpoint> members = in.readList(memberIn -> Endpoint.ofName(memberIn.readText()));
    return new LinkedHashSet<>(members);
  }

  /** Writes a group configuration: its log index, all members and the voting members. */
  public static void writeMembersView(RaftGroupMembersView view, CborValues.Writer out)
      throws IOException {
    out.put(view.getLogIndex());
    writeMembers(view.getMembers(), out);
    writeMembers(view.getVotingMembers(), out);
  }

  /** Reads a group configuration. */
  public static RaftGroupMembersView readMembersView(CborValues.Reader in) throws IOException {
    return MODEL_FACTORY
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(in.readLong())
        .setMembers(readMembers(in))
        .setVotingMembers(readMembers(in))
        .build();
  }

  private static void writeOperation(Object operation, CborValues.Writer out) throws IOException {
    if (operation instanceof byte[] bytes) {
      out.put(BYTES_OPERATION_FORMAT).put(bytes);
    } else if (operation instanceof UpdateRaftGroupMembersOp change) {
      out.put(MEMBERSHIP_CHANGE_FORMAT);
      writeMembers(change.getMembers(), out);
      writeMembers(change.getVotingMembers(), out);
      out.put(Endpoint.nameOf(change.getEndpoint())).put(change.getMode().name());
    } else {
      throw new IOException("no format is defined for the operation " + operation);
    }
  }

  private static Object readOperation(CborValues.Reader in) throws IOException {
    int format = in.readInt();
    return switch (format) {
      case BYTES_OPERATION_FORMAT -> in.readBytes();
      case MEMBERSHIP_CHANGE_FORMAT ->
          MODEL_FACTORY
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
   * @throws UnknownFormatException if its operation has a format of a later version
   */
  public static LogEntry readEntry(CborValues.Reader in) throws IOException {
    return MODEL_FACTORY
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
    return MODEL_FACTORY
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
   * The persistent state of the local member.
   *
   * @param member the member's name
   * @param isVoting whether the member votes
   */
  public static RaftEndpointPersistentState localEndpointState(String member, boolean isVoting) {
    return MODEL_FACTORY
        .createRaftEndpointPersistentStateBuilder()
        .setLocalEndpoint(new Endpoint(member))
        .setVoting(isVoting)
        .build();
  }

  /**
   * The persistent state of a term.
   *
   * @param votedFor the name of the member that the local member voted for in the term, null for
   *     none
   */
  public static RaftTermPersistentState termState(int term, String votedFor) {
    return MODEL_FACTORY
        .createRaftTermPersistentStateBuilder()
        .setTerm(term)
        .setVotedFor(Endpoint.ofName(votedFor))
        .build();
  }

  /** Writes a term, and the local member's vote in that term. */
  public static void writeTerm(RaftTermPersistentState term, CborValues.Writer out)
      throws IOException {
    out.put(term.getTerm()).put(Endpoint.nameOf(term.getVotedFor()));
  }

  /** Reads a term, and the local member's vote in that term. */
  public static RaftTermPersistentState readTerm(CborValues.Reader in) throws IOException {
    return termState(in.readInt(), in.readText());
  }

  /** The names of members, sorted. */
  public static List<String> memberNames(Collection<RaftEndpoint> members) {
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(Endpoint.nameOf(member)));
    names.sort(null);
    return names;
  }
}
