package shalepaddle.cluster;

import java.io.IOException;
import shalepaddle.encoding.CborValues;
import shalepaddle.raft.MemberStatus;

/** The form of how a member sees its group. */
final class MemberStatusCodec {
  private MemberStatusCodec() {}

  /** Its bytes. */
  static byte[] standing(MemberStatus standing) {
    return CborValues.encode(
        standing,
        (value, out) -> {
          out.put(value.name()).put(value.role()).put(value.leader()).put(value.term());
          out.putList(value.members(), (member, to) -> to.put(member));
          out.putList(value.votingMembers(), (member, to) -> to.put(member));
          out.put(value.commitIndex()).put(value.lastLogIndex()).put(value.inactiveReason());
        });
  }

  /** The same, read. */
  static MemberStatus standing(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in ->
            new MemberStatus(
                in.readText(),
                in.readText(),
                in.readText(),
                in.readInt(),
                in.readList(CborValues.Reader::readText),
                in.readList(CborValues.Reader::readText),
                in.readLong(),
                in.readLong(),
                in.readText()));
  }
}
