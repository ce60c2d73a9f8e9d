package shalepaddle.codec.meta;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.engine.Call;
import shalepaddle.engine.Payload;
import shalepaddle.engine.Reply;
import shalepaddle.model.Request;

/** Encoding of requests and responses, and the ownership of their buffers. */
class MetaRepliesTest {
  private static final ByteBufAllocator ALLOCATOR = UnpooledByteBufAllocator.DEFAULT;

  private static final MetaServerCodec CODEC = new MetaServerCodec();

  private static String textAndRelease(ByteBuf bytes) {
    String text = bytes.toString(StandardCharsets.ISO_8859_1);
    bytes.release();
    assertEquals(0, bytes.refCnt());
    return text;
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2048, 2049, 65536})
  void releasesValueWithItsResponse(int valueBytes) {
    String text = "x".repeat(valueBytes);
    ByteBuf value = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
    ByteBuf answer = MetaReplies.encode(ALLOCATOR, "a1", new Reply.Value(value));
    assertEquals("VA " + valueBytes + " Oa1\r\n" + text + "\r\n", textAndRelease(answer));
    assertEquals(0, value.refCnt());
  }

  @Test
  void encodesReplyWithoutValueAsLine() {
    assertEquals(
        "HD Oa1 c7\r\n",
        textAndRelease(MetaReplies.encode(ALLOCATOR, "a1", new Reply.Receipt("7"))));
    assertEquals(
        "SERVER_ERROR busy\r\n",
        textAndRelease(MetaReplies.encode(ALLOCATOR, "a1", new Reply.Rejected(0))));
    assertEquals(
        "SERVER_ERROR busy 40\r\n",
        textAndRelease(MetaReplies.encode(ALLOCATOR, "a1", new Reply.Rejected(40))));
    assertEquals(
        "SERVER_ERROR failed\r\n",
        textAndRelease(MetaReplies.encode(ALLOCATOR, "a1", new Reply.Failed(true))));
  }

  /** A payload of another protocol: a value and an idempotency key. */
  private record PlainPayload(ByteBuf value, String idempotencyKey) implements Payload {
    @Override
    public void release() {
      value.release();
    }
  }

  @Test
  void encodesRequestOfAnotherProtocol() {
    Request read = new Request("r1", "square", "read", null, 1, 0, 0, false, false);
    assertEquals(
        "mg square v Or1 Pc=read,d=250\r\n",
        textAndRelease(CODEC.encode(ALLOCATOR, new Call(read, Payload.NONE, reply -> {}), 250)));
    Request write = new Request("w1", "square", "put", "acme", 1, 0, 0, true, true);
    PlainPayload payload =
        new PlainPayload(Unpooled.copiedBuffer("a\r\nb", StandardCharsets.ISO_8859_1), "5c0f");
    Call call = new Call(write, payload, reply -> {});
    for (int attempt = 0; attempt < 2; attempt++) {
      assertEquals(
          "ms square 4 Ow1 Pc=put,t=acme,d=1,k=5c0f,r=1\r\na\r\nb\r\n",
          textAndRelease(CODEC.encode(ALLOCATOR, call, 0)));
    }
    assertEquals(1, payload.value().refCnt());
    payload.release();
  }
}
