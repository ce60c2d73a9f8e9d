package shalepaddle.transport;

import java.io.IOException;
import shalepaddle.encoding.CborValues;

/** The formats of handshakes, requests and responses between members. Stateless. */
final class ControlMessages {
  private ControlMessages() {}

  /**
   * The handshake of the side that opened the connection.
   *
   * @param group the name of its group
   * @param name its own, empty for a client that is no member
   * @param address where it listens, empty for nowhere
   */
  record Hello(String group, String name, String address) {
    byte[] encode() {
      return CborValues.encode(
          this, (hello, out) -> out.put(hello.group).put(hello.name).put(hello.address));
    }

    static Hello decode(byte[] bytes) throws IOException {
      return CborValues.decode(bytes, in -> new Hello(in.readText(), in.readText(), in.readText()));
    }
  }

  /**
   * A request.
   *
   * @param id given by the sender, and repeated in the response
   * @param method what is requested
   */
  // Never compared; owned by whoever reads it.
  @SuppressWarnings("ArrayRecordComponent")
  record Request(long id, String method, byte[] body) {
    byte[] encode() {
      return ControlMessages.encode(id, method, body);
    }

    static Request decode(byte[] bytes) throws IOException {
      return CborValues.decode(
          bytes, in -> new Request(in.readLong(), in.readText(), in.readBytes()));
    }
  }

  /**
   * The response to a request.
   *
   * @param id that of the request
   * @param error why it failed, empty if it succeeded
   */
  // Never compared; owned by whoever reads it.
  @SuppressWarnings("ArrayRecordComponent")
  record Response(long id, String error, byte[] body) {
    byte[] encode() {
      return ControlMessages.encode(id, error, body);
    }

    static Response decode(byte[] bytes) throws IOException {
      return CborValues.decode(
          bytes, in -> new Response(in.readLong(), in.readText(), in.readBytes()));
    }

    boolean isError() {
      return !error.isEmpty();
    }
  }

  private static byte[] encode(long id, String text, byte[] body) {
    return CborValues.encode(id, (value, out) -> out.put(value).put(text).put(body));
  }
}
