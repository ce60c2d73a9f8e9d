package shalepaddle.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.concurrent.Ticker;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

@Timeout(30)
class KernelSendQueuesTest {
  private static final String HEADER =
      "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid\n";
  private static final int LOCAL_PORT = 0x2BCB;
  private static final int REMOTE_PORT = 0xC350;
  private static final String ROW = "   0: 0400000A:2BCB 0302010A:C350 01 %08X:00000000";
  private static final String REST = " 00:00000000 00000000     0        0 1\n";
  private static final int ROWS_OF_OTHERS = 20_000;

  @TempDir private Path folder;
  private Path ipv4Table;
  private Path ipv6Table;
  private KernelSendQueues queues;

  @BeforeEach
  void setUp() {
    ipv4Table = folder.resolve("tcp");
    ipv6Table = folder.resolve("tcp6");
    queues = new KernelSendQueues(List.of(ipv4Table, ipv6Table), Ticker.systemTicker());
  }

  private static Channel connection(int remotePort) throws UnknownHostException {
    InetAddress local = InetAddress.getByName("10.0.0.4");
    InetAddress remote = InetAddress.getByName("10.1.2.3");
    return new EmbeddedChannel() {
      @Override
      public SocketAddress localAddress() {
        return new InetSocketAddress(local, LOCAL_PORT);
      }

      @Override
      public SocketAddress remoteAddress() {
        return new InetSocketAddress(remote, remotePort);
      }
    };
  }

  private long unacknowledgedBytes() throws Exception {
    return queues.read(connection(REMOTE_PORT)).get().unacknowledgedBytes();
  }

  @Test
  void findsConnectionOfIpv4Socket() throws Exception {
    Files.writeString(
        ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350 01 0003D090:00000001" + REST);
    assertEquals(250_000, unacknowledgedBytes());
  }

  @Test
  void findsConnectionOfMappedAddress() throws Exception {
    Files.writeString(
        ipv6Table,
        HEADER
            + "   0: 0000000000000000FFFF00000400000A:2BCB"
            + " 0000000000000000FFFF00000302010A:C350 01 00000010:00000000"
            + REST);
    assertEquals(16, unacknowledgedBytes());
  }

  @Test
  void readsTablesAfterEachCall() throws Exception {
    Files.writeString(ipv4Table, HEADER + ROW.formatted(20) + REST);
    assertEquals(20, unacknowledgedBytes());
    Files.writeString(ipv4Table, HEADER + ROW.formatted(10) + REST);
    assertEquals(10, unacknowledgedBytes());
  }

  @Test
  void knowsNothingWithoutTablesAndOfOtherChannels() throws Exception {
    assertEquals(SendQueues.UNKNOWN, unacknowledgedBytes());
    Files.writeString(ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350 01 garbled\n");
    assertEquals(SendQueues.UNKNOWN, unacknowledgedBytes());
    Files.writeString(ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350 01 00G0:00" + REST);
    assertEquals(SendQueues.UNKNOWN, unacknowledgedBytes());
    Files.writeString(ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350\n\n");
    assertEquals(SendQueues.UNKNOWN, unacknowledgedBytes());
    assertEquals(
        SendQueues.UNKNOWN, queues.read(new EmbeddedChannel()).get().unacknowledgedBytes());
  }

  @Test
  void findsEachOfManyConnectionsAmongThoseOfOthers() throws Exception {
    StringBuilder table = new StringBuilder(HEADER);
    for (int i = 0; i < ROWS_OF_OTHERS; i++) {
      table.append("%4d: 0100007F:1F90 0100007F:%04X 06 00000007:00000000".formatted(i, i));
      table.append(REST);
    }
    int count = 200;
    for (int i = 0; i < count; i++) {
      table.append("   0: 0400000A:2BCB 0302010A:%04X 01 %08X:00000000".formatted(1000 + i, i));
      table.append(REST);
    }
    Files.writeString(ipv4Table, table);
    List<CompletableFuture<SendQueues.Reading>> lookups = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      lookups.add(queues.read(connection(1000 + i)));
      lookups.add(queues.read(connection(1000 + i)));
    }
    for (int i = 0; i < lookups.size(); i++) {
      assertEquals(i / 2, lookups.get(i).get().unacknowledgedBytes());
    }
  }

  /** Guards against a table that grows with other processes' sockets holding up the event loop. */
  @Test
  void callerDoesNotWaitForTable() throws Exception {
    assertEquals(0, new ProcessBuilder("mkfifo", ipv4Table.toString()).start().waitFor());
    long calledAtNanos = Ticker.systemTicker().nanoTime();
    CompletableFuture<SendQueues.Reading> first = queues.read(connection(REMOTE_PORT));
    CompletableFuture<SendQueues.Reading> second = queues.read(connection(REMOTE_PORT));
    assertFalse(first.isDone() || second.isDone());
    // Nobody has written to the pipe until here.
    Files.writeString(ipv4Table, HEADER + ROW.formatted(30) + REST);
    SendQueues.Reading reading = first.get();
    assertEquals(30, reading.unacknowledgedBytes());
    assertTrue(reading.readAtNanos() - calledAtNanos >= 0);
  }
}
