package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.codec.meta.MetaClientCodec;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientCommand;
import shalepaddle.front.RequestAdmission;
import shalepaddle.overload.OverloadSnapshot;

/** Tests rejection of requests before they are parsed, and reading of the requests after them. */
class RequestRejectionTest {
  /** Rejects all requests of the first service class, with a Retry-After of 40 ms. */
  private static final class RejectingAdmission implements RequestAdmission {
    private final List<String> admitCalls = new ArrayList<>();
    private boolean isRejecting = true;

    @Override
    public boolean mayReject() {
      return isRejecting;
    }

    @Override
    public long admit(int serviceClass, int tenant, long keyHash, boolean isRetry) {
      admitCalls.add(serviceClass + (isRetry ? " again" : ""));
      return isRejecting && serviceClass == 0 ? 40 : ADMITTED;
    }
  }

  private final RejectingAdmission admission = new RejectingAdmission();
  private final MemoryBudget budget = new MemoryBudget(1000);

  private EmbeddedChannel createChannel() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      return new EmbeddedChannel(
          new MetaClientCodec(budget, rig.config("").settings(), admission).decoder());
    }
  }

  private static ByteBuf toBytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String releaseAndGetAnswer(ClientCommand command) {
    String text =
        command.answer() == null ? null : command.answer().toString(StandardCharsets.US_ASCII);
    command.release();
    return text;
  }

  @Test
  void rejectsReadAndAdmitsWriteOfOtherClass() throws Exception {
    EmbeddedChannel channel = createChannel();
    channel.writeInbound(
        toBytes(NodeFixture.readCommand("a1", 500) + NodeFixture.writeCommand("w1", 500, "value")));
    ClientCommand readCommand = channel.readInbound();
    assertEquals(1, readCommand.rejections().count());
    assertEquals("SERVER_ERROR busy 40\r\n", releaseAndGetAnswer(readCommand));
    ClientCommand writeCommand = channel.readInbound();
    assertEquals("w1", writeCommand.request().id());
    writeCommand.release();
    assertEquals(
        List.of("0", "1"), admission.admitCalls, "admission was not called once for each request");
    channel.finishAndReleaseAll();
  }

  @Test
  void skipsValueOfRejectedWriteWithoutBufferingIt() throws Exception {
    EmbeddedChannel channel = createChannel();
    String writeText = "ms key 2000 Ow1 Pc=read,r=1,d=500\r\n" + "v".repeat(2000) + "\r\n";
    for (int splitOffset : new int[] {0, 20, 40, 900}) {
      channel.writeInbound(toBytes(writeText.substring(0, splitOffset)));
      assertNull(channel.<ClientCommand>readInbound());
      channel.writeInbound(
          toBytes(
              writeText.substring(splitOffset) + NodeFixture.readCommand("a" + splitOffset, 500)));
      ClientCommand rejectedCommand = channel.readInbound();
      assertEquals(1, rejectedCommand.rejections().count());
      assertEquals(40, rejectedCommand.rejections().retryAfterMillis());
      assertEquals("SERVER_ERROR busy 40\r\n", releaseAndGetAnswer(rejectedCommand));
      assertTrue(budget.reserve(1000), "a part of the value is buffered");
      budget.release(1000);
      assertEquals("SERVER_ERROR busy 40\r\n", releaseAndGetAnswer(channel.readInbound()));
    }
    assertEquals("0 again", admission.admitCalls.get(0));
    channel.finishAndReleaseAll();
  }

  @Test
  void combinesConsecutiveRejectionsIntoOneAnswer() throws Exception {
    EmbeddedChannel channel = createChannel();
    StringBuilder requestText = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      requestText.append(NodeFixture.readCommand("a" + i, 500));
    }
    requestText
        .append(NodeFixture.writeCommand("w1", 500, "v"))
        .append(NodeFixture.readCommand("b1", 500))
        .append("mg ke");
    channel.writeInbound(toBytes(requestText.toString()));
    ClientCommand combinedRejections = channel.readInbound();
    assertEquals(5, combinedRejections.rejections().count());
    assertEquals("SERVER_ERROR busy 40\r\n".repeat(5), releaseAndGetAnswer(combinedRejections));
    ClientCommand writeCommand = channel.readInbound();
    assertEquals(
        "w1",
        writeCommand.request().id(),
        "the admitted write did not come right after the rejected reads");
    writeCommand.release();
    assertEquals("SERVER_ERROR busy 40\r\n", releaseAndGetAnswer(channel.readInbound()));
    assertNull(channel.<ClientCommand>readInbound(), "a command was read from an incomplete line");
    assertEquals(7, admission.admitCalls.size());
    channel.finishAndReleaseAll();
  }

  @Test
  void answersMalformedRequestsWithErrorsInsteadOfRejections() throws Exception {
    EmbeddedChannel channel = createChannel();
    channel.writeInbound(
        toBytes(
            """
            mg key v Oa1 Pc=nosuch,d=5\r
            mg key v Oa2\r
            foo\r
            ms key 99999999 Ow1 Pc=read,d=5\r
            """));
    List<String> answers = new ArrayList<>();
    for (ClientCommand command = channel.readInbound();
        command != null;
        command = channel.readInbound()) {
      answers.add(releaseAndGetAnswer(command));
    }
    assertEquals(
        List.of(
            "CLIENT_ERROR bad or missing class\r\n",
            "CLIENT_ERROR bad or missing class\r\n",
            "ERROR\r\n",
            "CLIENT_ERROR bad data length\r\n"),
        answers);
    channel.finishAndReleaseAll();
  }

  @Test
  void callsAdmissionForEachRequestWhenNothingIsRejected() throws Exception {
    admission.isRejecting = false;
    EmbeddedChannel channel = createChannel();
    channel.writeInbound(
        toBytes(NodeFixture.readCommand("a1", 500) + NodeFixture.writeCommand("w1", 500, "value")));
    ClientCommand readCommand = channel.readInbound();
    assertEquals(0, readCommand.rejections().count());
    readCommand.release();
    ((ClientCommand) channel.readInbound()).release();
    assertEquals(List.of("0", "1"), admission.admitCalls);
    channel.finishAndReleaseAll();
  }

  @Test
  void metersShowSnapshotValues() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      OverloadSnapshot snapshot = rig.node.overloadSnapshot();
      SimpleMeterRegistry registry = new SimpleMeterRegistry();
      new OverloadMetrics(() -> snapshot, Tags.of("node", "n0")).bindTo(registry);
      assertEquals(
          0,
          registry.get("shalepaddle.overload.level").tag("resource", "processor").gauge().value());
      assertTrue(Double.isNaN(registry.get("shalepaddle.overload.limit").gauge().value()));
      assertEquals(
          1, registry.get("shalepaddle.overload.passing").tag("tier", "0").gauge().value());
      assertEquals(
          snapshot.tiers().size(),
          registry.get("shalepaddle.overload.refused").functionCounters().size());
    }
  }
}
