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

/**
 * Checks the bytes on a connection against those that version 0.1.0 wrote, since members of that
 * version and of this one can run in one group.
 */
class FrameTest {
  /** Frames with the body 1, 2, 3: one of each kind, in the order of their codes. */
  private static final List<String> FRAMES_HEX =
      List.of(
          "535001000000000355bc801d010203",
          "535001010000000355bc801d010203",
          "535001020000000355bc801d010203",
          "535001030000000355bc801d010203",
          "535001040000000355bc801d010203",
          "535001050000000355bc801d010203");

  private static final String HELLO_HEX = "9f656269726473626d316d31302e302e302e313a37303031ff";
  private static final String REQUEST_HEX = "9f19012c64686f6c64420102ff";

  private static ByteBuf toBuffer(String hex) {
    return Unpooled.wrappedBuffer(HexFormat.of().parseHex(hex));
  }

  @Test
  void encodesFramesAsEarlierVersion() {
    Frame.Kind[] kinds = Frame.Kind.values();
    assertEquals(FRAMES_HEX.size(), kinds.length);
    for (int i = 0; i < kinds.length; i++) {
      ByteBuf encodedFrame =
          new Frame(kinds[i], new byte[] {1, 2, 3}).encode(UnpooledByteBufAllocator.DEFAULT);
      assertEquals(FRAMES_HEX.get(i), ByteBufUtil.hexDump(encodedFrame));
      encodedFrame.release();
    }
  }

  @Test
  void decodesFramesReceivedByteByByte() {
    for (int i = 0; i < FRAMES_HEX.size(); i++) {
      EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
      for (byte next : HexFormat.of().parseHex(FRAMES_HEX.get(i))) {
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
  void rejectsInvalidFrames() {
    assertRejected("485450000000000000000000", "wrong magic number, expected 0x5350");
    assertRejected("535002000000000000000000", "protocol version 2, expected 1");
    assertRejected("535001060000000000000000", "invalid frame header: kind 6, 0 bytes");
    assertRejected("535001ff0000000000000000", "invalid frame header: kind -1, 0 bytes");
    assertRejected("535001000040000100000000", "invalid frame header: kind 0, 4194305 bytes");
    assertRejected("535001000000000355bc801d010204", "the checksum of the body does not match");
  }

  private static void assertRejected(String hex, String reason) {
    EmbeddedChannel channel = new EmbeddedChannel(new FrameDecoder());
    assertEquals(
        reason,
        assertThrows(CorruptedFrameException.class, () -> channel.writeInbound(toBuffer(hex)))
            .getMessage());
  }

  @Test
  void encodesAndDecodesControlMessagesAsEarlierVersion() throws IOException {
    HexFormat hexFormat = HexFormat.of();
    ControlMessages.Hello hello = new ControlMessages.Hello("birds", "m1", "10.0.0.1:7001");
    assertEquals(HELLO_HEX, hexFormat.formatHex(hello.encode()));
    assertEquals(hello, ControlMessages.Hello.decode(hexFormat.parseHex(HELLO_HEX)));

    byte[] body = {1, 2};
    assertEquals(
        REQUEST_HEX, hexFormat.formatHex(new ControlMessages.Request(300, "hold", body).encode()));
    ControlMessages.Request request =
        ControlMessages.Request.decode(hexFormat.parseHex(REQUEST_HEX));
    assertEquals(300, request.id());
    assertEquals("hold", request.method());
    assertArrayEquals(body, request.body());

    // A response has the same format as a request, with the error in place of the method.
    assertEquals(
        REQUEST_HEX, hexFormat.formatHex(new ControlMessages.Response(300, "hold", body).encode()));
    ControlMessages.Response response =
        ControlMessages.Response.decode(hexFormat.parseHex(REQUEST_HEX));
    assertEquals(300, response.id());
    assertEquals("hold", response.error());
    assertArrayEquals(body, response.body());
  }
}
