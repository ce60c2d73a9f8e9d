package shalepaddle.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.CorruptedFrameException;
import java.io.IOException;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The bytes on a connection, against those that version 0.1.0 wrote: both talk to each other. */
class FrameTest {
  /** A frame of each kind with the body 1, 2, 3, in the order of the kinds' codes. */
  private static final List<String> FRAMES =
      List.of(
          "535001000000000355bc801d010203",
          "535001010000000355bc801d010203",
          "535001020000000355bc801d010203",
          "535001030000000355bc801d010203",
          "535001040000000355bc801d010203",
          "535001050000000355bc801d010203");

  private static final String HELLO = "9f656269726473626d316d31302e302e302e313a37303031ff";
  private static final String REQUEST = "9f19012c64686f6c64420102ff";

  private static ByteBuf buffer(String hex) {
    return Unpooled.wrappedBuffer(HexFormat.of().parseHex(hex));
  }

  @Test
  void encodesFramesAsEarlierVersion() {
    Frame.Kind[] kinds = Frame.Kind.values();
    assertEquals(FRAMES.size(), kinds.length);
    for (int i = 0; i < kinds.length; i++) {
      ByteBuf encoded =
          new Frame(kinds[i], new byte[] {1, 2, 3}).encode(UnpooledByteBufAllocator.DEFAULT);
      assertEquals(FRAMES.get(i), ByteBufUtil.hexDump(encoded));
      encoded.release();
    }
  }

  @Test
  void decodesFramesHoweverTheyAreFragmented() {
    for (int i = 0; i < FRAMES.size(); i++) {
      EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
      for (byte next : HexFormat.of().parseHex(FRAMES.get(i))) {
        assertNull(channel.readInbound());
        channel.writeInbound(Unpooled.wrappedBuffer(new byte[] {next}));
      }
      Frame frame = channel.readInbound();
      assertEquals(Frame.Kind.ofCode(i), frame.kind());
      assertArrayEquals(new byte[] {1, 2, 3}, frame.body());
      channel.finishAndReleaseAll();
    }
  }

  @Test
  void rejectsBytesThatAreNoFrame() {
    assertRejected("485450000000000000000000", "these are no members' bytes");
    assertRejected("535002000000000000000000", "version 2, and this is 1");
    assertRejected("535001060000000000000000", "kind 6 of 0 bytes");
    assertRejected("535001ff0000000000000000", "kind -1 of 0 bytes");
    assertRejected("535001000040000100000000", "kind 0 of 4194305 bytes");
    assertRejected("535001000000000355bc801d010204", "damaged on the way");
  }

  private static void assertRejected(String hex, String reason) {
    EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
    assertEquals(
        reason,
        assertThrows(CorruptedFrameException.class, () -> channel.writeInbound(buffer(hex)))
            .getMessage());
  }

  @Test
  void encodesAndDecodesControlMessagesAsEarlierVersion() throws IOException {
    HexFormat format = HexFormat.of();
    ControlMessages.Hello hello = new ControlMessages.Hello("birds", "m1", "10.0.0.1:7001");
    assertEquals(HELLO, format.formatHex(hello.encode()));
    assertEquals(hello, ControlMessages.Hello.decode(format.parseHex(HELLO)));

    byte[] body = {1, 2};
    assertEquals(
        REQUEST, format.formatHex(new ControlMessages.Request(300, "hold", body).encode()));
    ControlMessages.Request request = ControlMessages.Request.decode(format.parseHex(REQUEST));
    assertEquals(300, request.id());
    assertEquals("hold", request.method());
    assertArrayEquals(body, request.body());

    // A response has the same form, with an error in the place of the method.
    assertEquals(
        REQUEST, format.formatHex(new ControlMessages.Response(300, "hold", body).encode()));
    ControlMessages.Response response = ControlMessages.Response.decode(format.parseHex(REQUEST));
    assertEquals(300, response.id());
    assertEquals("hold", response.error());
    assertArrayEquals(body, response.body());
  }
}
