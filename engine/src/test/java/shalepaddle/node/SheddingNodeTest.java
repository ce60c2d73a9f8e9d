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

/** Refusing at the edge: what is read of a request that is refused, and what goes on. */
class SheddingNodeTest {
  /** Refuses all of one class, with advice. */
  private static final class Refusing implements RequestAdmission {
    private final List<String> asked = new ArrayList<>();
    private boolean shuts = true;

    @Override
    public boolean mayReject() {
      return shuts;
    }

    @Override
    public long admit(int serviceClass, int tenant, long subject, boolean repeat) {
      asked.add(serviceClass + (repeat ? " again" : ""));
      return shuts && serviceClass == 0 ? 40 : ADMITTED;
    }
  }

  private final Refusing gate = new Refusing();
  private final MemoryBudget budget = new MemoryBudget(1000);

  private EmbeddedChannel channel() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      return new EmbeddedChannel(
          new MetaClientCodec(budget, rig.config("").settings(), gate).decoder());
    }
  }

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
  }

  private static String answer(ClientCommand command) {
    String text =
        command.answer() == null ? null : command.answer().toString(StandardCharsets.US_ASCII);
    command.release();
    return text;
  }

  @Test
  void aReadIsRefusedByItsLineAloneAndAWriteOfAnotherClassGoesOn() throws Exception {
    EmbeddedChannel channel = channel();
    channel.writeInbound(bytes(NodeFixture.get("a1", 500) + NodeFixture.put("w1", 500, "value")));
    ClientCommand read = channel.readInbound();
    assertEquals(1, read.rejections().count());
    assertEquals("SERVER_ERROR busy 40\r\n", answer(read));
    ClientCommand write = channel.readInbound();
    assertEquals("w1", write.request().id());
    write.release();
    assertEquals(List.of("0", "1"), gate.asked, "each is asked about once");
    channel.finishAndReleaseAll();
  }

  @Test
  void aRefusedWriteIsReadToItsEndWithoutKeepingItsValue() throws Exception {
    EmbeddedChannel channel = channel();
    String write = "ms key 2000 Ow1 Pc=read,r=1,d=500\r\n" + "v".repeat(2000) + "\r\n";
    for (int cut : new int[] {0, 20, 40, 900}) {
      channel.writeInbound(bytes(write.substring(0, cut)));
      assertNull(channel.<ClientCommand>readInbound());
      channel.writeInbound(bytes(write.substring(cut) + NodeFixture.get("a" + cut, 500)));
      ClientCommand refused = channel.readInbound();
      assertEquals(1, refused.rejections().count());
      assertEquals(40, refused.rejections().retryAfterMillis());
      assertEquals("SERVER_ERROR busy 40\r\n", answer(refused));
      assertTrue(budget.reserve(1000), "nothing of the value is held");
      budget.release(1000);
      assertEquals("SERVER_ERROR busy 40\r\n", answer(channel.readInbound()));
    }
    assertEquals("0 again", gate.asked.get(0));
    channel.finishAndReleaseAll();
  }

  @Test
  void refusalsInARowAreOneAnswerInTheirOrder() throws Exception {
    EmbeddedChannel channel = channel();
    StringBuilder asked = new StringBuilder();
    for (int i = 0; i < 5; i++) {
      asked.append(NodeFixture.get("a" + i, 500));
    }
    asked
        .append(NodeFixture.put("w1", 500, "v"))
        .append(NodeFixture.get("b1", 500))
        .append("mg ke");
    channel.writeInbound(bytes(asked.toString()));
    ClientCommand five = channel.readInbound();
    assertEquals(5, five.rejections().count());
    assertEquals("SERVER_ERROR busy 40\r\n".repeat(5), answer(five));
    ClientCommand write = channel.readInbound();
    assertEquals("w1", write.request().id(), "what is admitted keeps its place");
    write.release();
    assertEquals("SERVER_ERROR busy 40\r\n", answer(channel.readInbound()));
    assertNull(channel.<ClientCommand>readInbound(), "the rest has not come");
    assertEquals(7, gate.asked.size());
    channel.finishAndReleaseAll();
  }

  @Test
  void whatCanNotBeReadIsStillAnErrorAndNoRefusal() throws Exception {
    EmbeddedChannel channel = channel();
    channel.writeInbound(
        bytes(
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
      answers.add(answer(command));
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
  void whileNothingIsRefusedEachRequestIsStillCounted() throws Exception {
    gate.shuts = false;
    EmbeddedChannel channel = channel();
    channel.writeInbound(bytes(NodeFixture.get("a1", 500) + NodeFixture.put("w1", 500, "value")));
    ClientCommand read = channel.readInbound();
    assertEquals(0, read.rejections().count());
    read.release();
    ((ClientCommand) channel.readInbound()).release();
    assertEquals(List.of("0", "1"), gate.asked);
    channel.finishAndReleaseAll();
  }

  @Test
  void metersTellWhatTheReadingTells() throws Exception {
    try (NodeFixture rig = new NodeFixture()) {
      OverloadSnapshot reading = rig.node.overloadSnapshot();
      SimpleMeterRegistry registry = new SimpleMeterRegistry();
      new OverloadMetrics(() -> reading, Tags.of("node", "n0")).bindTo(registry);
      assertEquals(
          0,
          registry.get("shalepaddle.overload.level").tag("resource", "processor").gauge().value());
      assertTrue(Double.isNaN(registry.get("shalepaddle.overload.limit").gauge().value()));
      assertEquals(
          1, registry.get("shalepaddle.overload.passing").tag("tier", "0").gauge().value());
      assertEquals(
          reading.tiers().size(),
          registry.get("shalepaddle.overload.refused").functionCounters().size());
    }
  }
}
