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

/** The forms of what the log is made of. */
public final class LogEntryCodec {
  /** What a new leader begins its term with: it asks for nothing. */
  public static final byte[] EMPTY_OPERATION = new byte[0];

  private static final RaftModelFactory MODEL = new DefaultRaftModelFactory();
  private static final int BYTES = 1;
  private static final int MEMBERS = 2;

  private LogEntryCodec() {}

  /** Makes what the library works with. */
  public static RaftModelFactory model() {
    return MODEL;
  }

  static void members(Collection<RaftEndpoint> members, CborValues.Writer out) throws IOException {
    out.putList(members, (member, to) -> to.put(Endpoint.nameOf(member)));
  }

  static Collection<RaftEndpoint> members(CborValues.Reader in) throws IOException {
    List<RaftEndpoint> members = in.readList(from -> Endpoint.ofName(from.readText()));
    return new LinkedHashSet<>(members);
  }

  /** Who is in the group, and who votes. */
  public static void view(RaftGroupMembersView view, CborValues.Writer out) throws IOException {
    out.put(view.getLogIndex());
    members(view.getMembers(), out);
    members(view.getVotingMembers(), out);
  }

  /** The same, read. */
  public static RaftGroupMembersView view(CborValues.Reader in) throws IOException {
    return MODEL
        .createRaftGroupMembersViewBuilder()
        .setLogIndex(in.readLong())
        .setMembers(members(in))
        .setVotingMembers(members(in))
        .build();
  }

  private static void operation(Object operation, CborValues.Writer out) throws IOException {
    if (operation instanceof byte[] bytes) {
      out.put(BYTES).put(bytes);
    } else if (operation instanceof UpdateRaftGroupMembersOp change) {
      out.put(MEMBERS);
      members(change.getMembers(), out);
      members(change.getVotingMembers(), out);
      out.put(Endpoint.nameOf(change.getEndpoint())).put(change.getMode().name());
    } else {
      throw new IOException("no form for " + operation);
    }
  }

  private static Object operation(CborValues.Reader in) throws IOException {
    int kind = in.readInt();
    return switch (kind) {
      case BYTES -> in.readBytes();
      case MEMBERS ->
          MODEL
              .createUpdateRaftGroupMembersOpBuilder()
              .setMembers(members(in))
              .setVotingMembers(members(in))
              .setEndpoint(Endpoint.ofName(in.readText()))
              .setMode(MembershipChangeMode.valueOf(in.readText()))
              .build();
      default -> throw new IOException("an entry of form " + kind + ", made by a later version");
    };
  }

  /** An entry of the log. */
  public static void entry(LogEntry entry, CborValues.Writer out) throws IOException {
    out.put(entry.getIndex()).put(entry.getTerm());
    operation(entry.getOperation(), out);
  }

  /** The same, read. */
  public static LogEntry entry(CborValues.Reader in) throws IOException {
    return MODEL
        .createLogEntryBuilder()
        .setIndex(in.readLong())
        .setTerm(in.readInt())
        .setOperation(operation(in))
        .build();
  }

  /** A part of a snapshot. */
  public static void chunk(SnapshotChunk chunk, CborValues.Writer out) throws IOException {
    out.put(chunk.getIndex())
        .put(chunk.getTerm())
        .put(chunk.getSnapshotChunkIndex())
        .put(chunk.getSnapshotChunkCount());
    view(chunk.getGroupMembersView(), out);
    operation(chunk.getOperation(), out);
  }

  /** The same, read. */
  public static SnapshotChunk chunk(CborValues.Reader in) throws IOException {
    return MODEL
        .createSnapshotChunkBuilder()
        .setIndex(in.readLong())
        .setTerm(in.readInt())
        .setSnapshotChunkIndex(in.readInt())
        .setSnapshotChunkCount(in.readInt())
        .setGroupMembersView(view(in))
        .setOperation(operation(in))
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

  /** The term, and who has this member's vote in it. */
  public static void term(RaftTermPersistentState term, CborValues.Writer out) throws IOException {
    out.put(term.getTerm()).put(Endpoint.nameOf(term.getVotedFor()));
  }

  /** The same, read. */
  public static RaftTermPersistentState term(CborValues.Reader in) throws IOException {
    return term(in.readInt(), in.readText());
  }

  /** The names of members, in order. */
  public static List<String> names(Collection<RaftEndpoint> members) {
    List<String> names = new ArrayList<>();
    members.forEach(member -> names.add(Endpoint.nameOf(member)));
    names.sort(null);
    return names;
  }
}
