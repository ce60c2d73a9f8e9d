package shalepaddle.cluster;

import java.io.IOException;
import shalepaddle.encoding.CborValues;
import shalepaddle.raft.MemberStatus;

/** The form of how a member sees its group. */
final class MemberStatusCodec {
  private MemberStatusCodec() {}

  /** Its bytes. */
  static byte[] standing(MemberStatus standing) {
    return CborValues.write(
        standing,
        (value, out) -> {
          out.put(value.name()).put(value.role()).put(value.leader()).put(value.term());
          out.each(value.members(), (member, to) -> to.put(member));
          out.each(value.voting(), (member, to) -> to.put(member));
          out.put(value.committed()).put(value.last()).put(value.steppedAside());
        });
  }

  /** The same, read. */
  static MemberStatus standing(byte[] bytes) throws IOException {
    return CborValues.read(
        bytes,
        in ->
            new MemberStatus(
                in.text(),
                in.text(),
                in.text(),
                in.small(),
                in.each(CborValues.Reader::text),
                in.each(CborValues.Reader::text),
                in.number(),
                in.number(),
                in.text()));
  }
}
