package shalepaddle.front;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class DeadlineScannerTest {
  private static final String COMMANDS =
      """
      mg key v Oid Pc=read,t=d=3,d=480\r
      ms key 5 Oid2 Pd=70,c=put\r
      value\r
      mg d=1 v Oid3 Pc=read\r
      """;

  private static List<Integer> found(String text, int cut) {
    DeadlineScanner scanner = new DeadlineScanner();
    List<Integer> found = new ArrayList<>();
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    scanner.scan(Unpooled.wrappedBuffer(bytes, 0, cut), found::add);
    scanner.scan(Unpooled.wrappedBuffer(bytes, cut, bytes.length - cut), found::add);
    return found;
  }

  @Test
  void findsDeadlinesAtEveryCut() {
    for (int cut = 0; cut <= COMMANDS.length(); cut++) {
      assertEquals(List.of(480, 70), found(COMMANDS, cut), "cut at " + cut);
    }
  }

  @Test
  void limitsNumbersThatAreOutOfRange() {
    assertEquals(List.of(1_000_000), found("mg k v Pd=99999999999999999999 x", 0));
  }
}
