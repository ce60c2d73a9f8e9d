package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.testkit.ScriptedPeer;

/** The real process runs out of descriptors for 30 ms and serves requests as before afterwards. */
@Timeout(60)
class AcceptFailureIT {
  @TempDir private Path folder;

  private static String formatReadCommand(String id) {
    return "mg key-%s v O%s Pc=read,d=1000\r\n".formatted(id, id);
  }

  @Test
  void keepsConnectionsAndAcceptsSoonAfterDescriptorShortage() throws Exception {
    try (Fleet fleet = new Fleet(2);
        PausableNode node = new PausableNode(folder, fleet, 256);
        ScriptedPeer earlierClient = ScriptedPeer.connect(node.address())) {
      assertEquals("VA 5 Oa", earlierClient.write(formatReadCommand("a")).readLine());
      assertEquals("value", earlierClient.readLine());
      for (int i = 0; i < 5; i++) {
        node.descriptorLimit().setSoftLimit(node.descriptorLimit().openDescriptors());
        long sentAtNanos = System.nanoTime();
        try (ScriptedPeer clientDuringShortage = ScriptedPeer.connect(node.address())) {
          clientDuringShortage.write(formatReadCommand("b" + i));
          TimeUnit.MILLISECONDS.sleep(30);
          node.descriptorLimit().setSoftLimit(256);
          assertEquals("VA 5 Ob" + i, clientDuringShortage.readLine());
        }
        long answerMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
        assertTrue(answerMillis < 300, "request answered after " + answerMillis + " ms");
      }
      try (ScriptedPeer laterClient = ScriptedPeer.connect(node.address())) {
        assertEquals("MN", laterClient.write("mn\r\n").readLine());
      }
      assertEquals("VA 5 Oc", earlierClient.write(formatReadCommand("c")).readLine());
    }
  }
}
