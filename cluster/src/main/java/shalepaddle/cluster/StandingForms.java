package shalepaddle.cluster;

import java.io.IOException;
import shalepaddle.agreement.Standing;
import shalepaddle.formats.Values;

/** The form of how a member sees its group. */
final class StandingForms {
  private StandingForms() {}

  /** Its bytes. */
  static byte[] standing(Standing standing) {
    return Values.write(
        standing,
        (value, out) -> {
          out.put(value.name()).put(value.role()).put(value.leader()).put(value.term());
          out.each(value.members(), (member, to) -> to.put(member));
          out.each(value.voting(), (member, to) -> to.put(member));
          out.put(value.committed()).put(value.last()).put(value.steppedAside());
        });
  }

  /** The same, read. */
  static Standing standing(byte[] bytes) throws IOException {
    return Values.read(
        bytes,
        in ->
            new Standing(
                in.text(),
                in.text(),
                in.text(),
                in.small(),
                in.each(Values.Reader::text),
                in.each(Values.Reader::text),
                in.number(),
                in.number(),
                in.text()));
  }
}
