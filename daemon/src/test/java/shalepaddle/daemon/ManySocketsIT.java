package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.testkit.BlockingCacheServer;
import shalepaddle.testkit.ScriptedPeer;

/** Guards against turns of the event loop that grow with the sockets of the whole machine. */
@Timeout(120)
class ManySocketsIT {
  private static final int SOCKETS_OF_OTHERS = 60_000;
  private static final int LARGE_VALUE_BYTES = 3_000_000;
  private static final int SLOW_READERS = 2;
  private static final int SLOW_STEP_BYTES = 10_000;
  private static final int SLOW_STEP_MILLIS = 100;
  private static final int SLOW_READ_MILLIS = 6000;

  /** The pages' shortest deadlines of a request that was served before. */
  private static final int DEADLINE_MILLIS = 250;

  private static final int WRITE_BYTES = 300_000;
  private static final int LEAVING_WRITERS = 8;
  private static final int STAY_MILLIS = 50;
  private static final int SLOW_ANSWER_MILLIS = 600;
  private static final int CHECK_INTERVAL_MILLIS = 5;

  /** So many nodes open one connection each to a server. */
  private static final int MANY_NODES = 28;

  @TempDir private Path folder;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private ScriptedFleet fleet;

  private void start(int serverCount, int nodeCount) throws Exception {
    fleet = new ScriptedFleet(folder, serverCount, 3, nodeCount, ManySocketsIT::respond);
    ClosedSockets.leave(SOCKETS_OF_OTHERS);
  }

  @AfterEach
  void stop() throws IOException {
    fleet.close();
    threads.shutdownNow();
  }

  private static void respond(BlockingCacheServer.Request request, ScriptedPeer connection)
      throws IOException, InterruptedException {
    if (request.isWrite()) {
      connection.write("HD O" + request.id() + " c1\r\n");
      return;
    }
    if (request.key().equals("slow")) {
      TimeUnit.MILLISECONDS.sleep(SLOW_ANSWER_MILLIS);
    }
    int valueBytes = request.key().startsWith("large") ? LARGE_VALUE_BYTES : 10;
    connection.write("VA " + valueBytes + " O" + request.id() + " h1\r\n");
    connection.write(new byte[valueBytes]).write("\r\n");
  }

  /** Reads a part of a large value in small steps. */
  private Void readSlowly(String id) throws Exception {
    try (ScriptedPeer client = ScriptedPeer.connect(fleet.address())) {
      client.write("mg large v O" + id + " Pc=read,d=2000\r\n");
      for (int millis = 0; millis < SLOW_READ_MILLIS; millis += SLOW_STEP_MILLIS) {
        assertEquals(SLOW_STEP_BYTES, client.readBytes(SLOW_STEP_BYTES).length);
        TimeUnit.MILLISECONDS.sleep(SLOW_STEP_MILLIS);
      }
    }
    return null;
  }

  /** Sends small reads one after the other; returns those that were late. */
  private List<String> lateReadsUntil(List<? extends Future<?>> others) throws Exception {
    List<String> late = new ArrayList<>();
    try (ScriptedPeer client = ScriptedPeer.connect(fleet.address())) {
      for (int i = 0; !others.stream().allMatch(Future::isDone); i++) {
        long sentNanos = System.nanoTime();
        client.write("mg small%d v Os%d Pc=read,d=%d\r\n".formatted(i % 10, i, DEADLINE_MILLIS));
        String head = client.readLine();
        if (head.startsWith("VA ")) {
          client.readLine();
        }
        long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentNanos);
        if (millis > DEADLINE_MILLIS) {
          late.add(head + " after " + millis + " ms");
        }
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
      }
    }
    for (Future<?> other : others) {
      other.get();
    }
    return late;
  }

  private List<String> stalls() throws IOException {
    return fleet.logLines().stream().filter(line -> line.contains("stall")).toList();
  }

  @Test
  void slowReadersDelayNoRequestsOfOthers() throws Exception {
    start(2, 1);
    List<Future<Void>> slowReaders = new ArrayList<>();
    for (int i = 0; i < SLOW_READERS; i++) {
      String id = "l" + i;
      slowReaders.add(threads.submit(() -> readSlowly(id)));
    }
    List<String> late = lateReadsUntil(slowReaders);
    assertEquals(List.of(), late, () -> logOf());
    assertEquals(List.of(), stalls());
  }

  /** Sends writes behind slow reads on the only connection, and leaves before they are read. */
  private Void writeAndLeave() throws Exception {
    for (int i = 0; i < LEAVING_WRITERS; i++) {
      try (ScriptedPeer reader = ScriptedPeer.connect(fleet.address())) {
        reader.write("mg slow v Or" + i + " Pc=read,d=2000\r\n");
        TimeUnit.MILLISECONDS.sleep(STAY_MILLIS);
        try (ScriptedPeer writer = ScriptedPeer.connect(fleet.address())) {
          writer.write("ms key " + WRITE_BYTES + " Ow" + i + " Pc=put,d=2000\r\n");
          writer.write(new byte[WRITE_BYTES]).write("\r\n");
          TimeUnit.MILLISECONDS.sleep(STAY_MILLIS);
        }
        reader.readLine();
      }
    }
    return null;
  }

  /** Health checks, which the node answers by itself, sent one after the other. */
  private long longestHealthCheckMillis(Future<?> others) throws Exception {
    long longestNanos = 0;
    try (ScriptedPeer client = ScriptedPeer.connect(fleet.address())) {
      while (!others.isDone()) {
        long sentNanos = System.nanoTime();
        assertEquals("MN", client.write("mn\r\n").readLine());
        longestNanos = Math.max(longestNanos, System.nanoTime() - sentNanos);
        TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MILLIS);
      }
    }
    others.get();
    return TimeUnit.NANOSECONDS.toMillis(longestNanos);
  }

  @Test
  void withdrawnWritesDelayNoRequestsOfOthers() throws Exception {
    start(1, MANY_NODES);
    long longestMillis = longestHealthCheckMillis(threads.submit(this::writeAndLeave));
    assertTrue(longestMillis <= DEADLINE_MILLIS, () -> longestMillis + " ms\n" + logOf());
    assertEquals(List.of(), stalls());
    assertTrue(fleet.isNodeAlive(), "the node has ended");
  }

  private String logOf() {
    try {
      return String.join("\n", fleet.logLines());
    } catch (IOException e) {
      return e.toString();
    }
  }
}
