package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import shalepaddle.engine.Call;
import shalepaddle.engine.Payload;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.Submission;
import shalepaddle.model.Request;
import shalepaddle.testkit.ScriptedPeer;

/** Tests calls that are submitted to the dispatcher without a client socket, and their replies. */
class EngineSubmissionTest {
  private final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
  private NodeFixture rig;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  /** A payload with a value, whose reference count shows whether it was released. */
  private static final class ValuePayload implements Payload {
    private final ByteBuf bytes = Unpooled.copiedBuffer("value", StandardCharsets.US_ASCII);

    @Override
    public ByteBuf value() {
      return bytes;
    }

    @Override
    public void release() {
      if (bytes.refCnt() > 0) {
        bytes.release();
      }
    }
  }

  private static Request request(String id, boolean isWrite, double budgetSeconds) {
    return new Request(
        id, "key", isWrite ? "put" : "read", null, budgetSeconds, 0, 0, false, isWrite);
  }

  private Submission submit(Request request, Payload payload, ReplySink sink) throws Exception {
    return rig.node
        .loop()
        .submit(() -> rig.node.dispatcher().submit(new Call(request, payload, sink)))
        .get();
  }

  private Reply awaitReply() throws InterruptedException {
    Reply reply = replies.poll(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    assertTrue(reply != null, "no reply was received in time");
    return reply;
  }

  @Test
  void servesReadWithValue() throws Exception {
    submit(request("a1", false, 2), Payload.NONE, replies::add);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().matches("mg key v Oa1 Pc=read,d=\\d+"));
    cache.write("VA 5 Oa1 h1\r\nabcde\r\n");
    Reply.Value served = (Reply.Value) awaitReply();
    assertEquals("abcde", served.value().toString(StandardCharsets.US_ASCII));
    served.value().release();
    assertNull(replies.poll());
  }

  @Test
  void forwardsWriteAndReleasesValue() throws Exception {
    ValuePayload value = new ValuePayload();
    submit(request("w1", true, 2), value, replies::add);
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().matches("ms key 5 Ow1 Pc=put,d=\\d+"));
    assertEquals("value", cache.readLine());
    cache.write("HD Ow1 c9\r\n");
    assertEquals(new Reply.Receipt("9"), awaitReply());
    rig.awaitLoopTurns();
    assertEquals(0, value.bytes.refCnt());
  }

  @Test
  void failsWriteThatMayHaveRunAndRejectsWriteThatHasNotRun() throws Exception {
    submit(request("w1", true, 2), new ValuePayload(), replies::add);
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.readLine();
    cache.write("SERVER_ERROR failed\r\n");
    assertEquals(new Reply.Failed(true), awaitReply());
    submit(request("w2", true, 2), new ValuePayload(), replies::add);
    cache.readLine();
    cache.readLine();
    cache.write("SERVER_ERROR busy\r\n");
    assertEquals(new Reply.Rejected(0), awaitReply());
  }

  @Test
  void servesOtherCallsWhenOneSinkThrows() throws Exception {
    ValuePayload value = new ValuePayload();
    submit(
        request("w1", true, 2),
        value,
        reply -> {
          throw new IllegalStateException("thrown by the test");
        });
    ScriptedPeer cache = rig.acceptCache();
    cache.readLine();
    cache.readLine();
    cache.write("HD Ow1 c9\r\n");
    submit(request("w2", true, 2), new ValuePayload(), replies::add);
    cache.readLine();
    cache.readLine();
    cache.write("HD Ow2 c10\r\n");
    assertEquals(new Reply.Receipt("10"), awaitReply());
    assertEquals(0, value.bytes.refCnt());
    // The first call is removed completely: its id may be used again.
    assertTrue(submit(request("w1", true, 2), new ValuePayload(), replies::add) != null);
  }

  @Test
  void submitReturnsNullAndReleasesValueWhenIdIsInUse() throws Exception {
    submit(request("w1", true, 2), new ValuePayload(), replies::add);
    ValuePayload secondValue = new ValuePayload();
    assertNull(submit(request("w1", true, 2), secondValue, replies::add));
    assertEquals(0, secondValue.bytes.refCnt());
  }
}
