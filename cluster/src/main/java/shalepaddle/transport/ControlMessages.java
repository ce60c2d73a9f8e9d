package shalepaddle.transport;

import java.io.IOException;
import shalepaddle.encoding.CborValues;

/** Encodes and decodes handshakes, requests and responses between members. Stateless. */
final class ControlMessages {
  private ControlMessages() {}

  /**
   * The handshake, sent by the side that opened the connection.
   *
   * @param group the name of the sender's group
   * @param name the sender's name, empty for a client that is not a member
   * @param address the address at which the sender listens, empty for none
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
   * @param id chosen by the sender, and repeated in the response
   * @param method the name of the requested operation
   * @param body the arguments, in the format of the method
   */
  // Requests are never compared. The array is not copied: the reader of the request owns it.
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
   * @param id the id of the request
   * @param error why the request failed, empty if it succeeded
   * @param body the result, in the format of the method; empty if the request failed
   */
  // Responses are never compared. The array is not copied: the reader of the response owns it.
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

  private static byte[] encode(long id, String methodOrError, byte[] body) {
    return CborValues.encode(id, (value, out) -> out.put(value).put(methodOrError).put(body));
  }
}
