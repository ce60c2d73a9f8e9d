package shalepaddle.sockets;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.Channel;
import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SendQueueTableTest {
  private static final String HEADER =
      "  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid\n";
  private static final int LOCAL_PORT = 0x2BCB;
  private static final int REMOTE_PORT = 0xC350;
  private static final String REST = " 00:00000000 00000000     0        0 1\n";

  @TempDir private Path folder;
  private Path ipv4Table;
  private Path ipv6Table;
  private long now;
  private SendQueueTable table;

  @BeforeEach
  void setUp() {
    ipv4Table = folder.resolve("tcp");
    ipv6Table = folder.resolve("tcp6");
    table = new SendQueueTable(List.of(ipv4Table, ipv6Table), () -> now);
  }

  private static Channel connection() throws UnknownHostException {
    InetAddress local = InetAddress.getByName("10.0.0.4");
    InetAddress remote = InetAddress.getByName("10.1.2.3");
    return new EmbeddedChannel() {
      @Override
      public SocketAddress localAddress() {
        return new InetSocketAddress(local, LOCAL_PORT);
      }

      @Override
      public SocketAddress remoteAddress() {
        return new InetSocketAddress(remote, REMOTE_PORT);
      }
    };
  }

  @Test
  void findsConnectionOfIpv4Socket() throws Exception {
    Files.writeString(
        ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350 01 0003D090:00000001" + REST);
    assertEquals(250_000, table.unacknowledgedBytes(connection()));
  }

  @Test
  void findsConnectionOfMappedAddress() throws Exception {
    Files.writeString(
        ipv6Table,
        HEADER
            + "   0: 0000000000000000FFFF00000400000A:2BCB"
            + " 0000000000000000FFFF00000302010A:C350 01 00000010:00000000"
            + REST);
    assertEquals(16, table.unacknowledgedBytes(connection()));
  }

  @Test
  void readsTablesAgainOnceTheyAreOld() throws Exception {
    String line = "   0: 0400000A:2BCB 0302010A:C350 01 %08X:00000000" + REST;
    Files.writeString(ipv4Table, HEADER + line.formatted(20));
    assertEquals(20, table.unacknowledgedBytes(connection()));
    Files.writeString(ipv4Table, HEADER + line.formatted(10));
    assertEquals(20, table.unacknowledgedBytes(connection()));
    now += SendQueueTable.MAX_AGE_NANOS;
    assertEquals(10, table.unacknowledgedBytes(connection()));
  }

  @Test
  void knowsNothingWithoutTablesAndOfOtherChannels() throws Exception {
    assertEquals(SendQueueTable.UNKNOWN, table.unacknowledgedBytes(connection()));
    Files.writeString(ipv4Table, HEADER + "   0: 0400000A:2BCB 0302010A:C350 01 garbled\n");
    now += SendQueueTable.MAX_AGE_NANOS;
    assertEquals(SendQueueTable.UNKNOWN, table.unacknowledgedBytes(connection()));
    assertEquals(SendQueueTable.UNKNOWN, table.unacknowledgedBytes(new EmbeddedChannel()));
  }
}
