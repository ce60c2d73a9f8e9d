package shalepaddle.cluster;

import java.io.IOException;
import shalepaddle.encoding.CborValues;
import shalepaddle.raft.MemberRole;
import shalepaddle.raft.MemberStatus;

/** Encodes and decodes {@link MemberStatus}. Stateless. */
final class MemberStatusCodec {
  private MemberStatusCodec() {}

  /** Encodes a status. */
  static byte[] encode(MemberStatus status) {
    return CborValues.encode(
        status,
        (value, out) -> {
          out.put(value.name()).put(value.role().name()).put(value.leader()).put(value.term());
          out.putList(value.members(), (member, to) -> to.put(member));
          out.putList(value.votingMembers(), (member, to) -> to.put(member));
          out.put(value.commitIndex()).put(value.lastLogIndex()).put(value.inactiveReason());
        });
  }

  /**
   * Decodes a status.
   *
   * @throws IOException if the bytes are not a status, or the role is unknown to this version
   */
  static MemberStatus decode(byte[] bytes) throws IOException {
    return CborValues.decode(
        bytes,
        in ->
            new MemberStatus(
                in.readText(),
                MemberRole.valueOf(in.readText()),
                in.readText(),
                in.readInt(),
                in.readList(CborValues.Reader::readText),
                in.readList(CborValues.Reader::readText),
                in.readLong(),
                in.readLong(),
                in.readText()));
  }
}
