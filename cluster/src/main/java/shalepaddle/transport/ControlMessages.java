package shalepaddle.transport;

import java.io.IOException;
import shalepaddle.encoding.CborValues;

/** What frames other than those of the agreement carry. */
final class ControlMessages {
  private ControlMessages() {}

  /**
   * Who speaks.
   *
   * @param group the group's name
   * @param name the speaker's, empty for one that only asks
   * @param address where it listens, empty for nowhere
   */
  record Hello(String group, String name, String address) {
    byte[] bytes() {
      return CborValues.encode(
          this, (hello, out) -> out.put(hello.group).put(hello.name).put(hello.address));
    }

    static Hello of(byte[] bytes) throws IOException {
      return CborValues.decode(bytes, in -> new Hello(in.readText(), in.readText(), in.readText()));
    }
  }

  /**
   * A question or an answer.
   *
   * @param number the asker's own, the same in the answer
   * @param what what is asked for; in an answer, empty for one that was given, else why there is
   *     none
   * @param body whatever belongs to it
   */
  // Never compared; owned by whoever reads it.
  @SuppressWarnings("ArrayRecordComponent")
  record Said(long number, String what, byte[] body) {
    byte[] bytes() {
      return CborValues.encode(
          this, (said, out) -> out.put(said.number).put(said.what).put(said.body));
    }

    static Said of(byte[] bytes) throws IOException {
      return CborValues.decode(bytes, in -> new Said(in.readLong(), in.readText(), in.readBytes()));
    }
  }
}
