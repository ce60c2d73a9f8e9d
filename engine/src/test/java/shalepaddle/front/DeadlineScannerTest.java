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

  private static List<Integer> deadlinesMillis(String text, int splitAt) {
    DeadlineScanner scanner = new DeadlineScanner();
    List<Integer> deadlinesMillis = new ArrayList<>();
    byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
    scanner.scan(Unpooled.wrappedBuffer(bytes, 0, splitAt), deadlinesMillis::add);
    scanner.scan(
        Unpooled.wrappedBuffer(bytes, splitAt, bytes.length - splitAt), deadlinesMillis::add);
    return deadlinesMillis;
  }

  @Test
  void findsDeadlinesWhereverBytesAreSplit() {
    for (int splitAt = 0; splitAt <= COMMANDS.length(); splitAt++) {
      assertEquals(List.of(480, 70), deadlinesMillis(COMMANDS, splitAt), "split at " + splitAt);
    }
  }

  @Test
  void limitsDeadlineAboveMaximum() {
    assertEquals(List.of(1_000_000), deadlinesMillis("mg k v Pd=99999999999999999999 x", 0));
  }
}
