package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 3. Clients read large values slowly and without a pause. The cache server gives each value at
 * once, as far as it is taken. Each client is to get its value whole.
 */
final class SlowReader {
  private static final int SERVERS = 6;
  private static final int NODES = 3;

  /** What each client reads: KiB per second, and the bytes of its value. */
  private static final int[][] READERS = {
    {64, 4 << 20}, {80, 4 << 20}, {250, 3_980_000}, {250, 4_000_000}, {250, 4_020_000},
    {250, 4_040_000}, {250, 4_060_000}
  };
  private static final double STEP = 0.05;

  private SlowReader() {}

  private static void begun(CacheServer server, CacheServer.Job job) {
    String[] key = job.command.word(1).split("-");
    job.answer = CacheServer.served(job, key[0].equals("large") ? Integer.parseInt(key[1]) : 20);
    job.readyAt = job.begunAt + 0.03;
    Rec.line("%s begins O%s %s", server.id, job.id(), job.command.word(1));
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Rec.open(Path.of(args[1]));
    boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Discovery discovery = new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      discovery.put(new CacheServer("s" + i, SlowReader::begun, 0), "active");
    }
    Node node = new Node(root);
    node.start(
        discovery.list(),
        discovery.address(),
        Node.settings(
            NODES,
            10,
            Node.service("square-read", "retryable", 2.0, 0.75, 5.0)
                + ","
                + Node.service("sheet-submit", "fragile", 1.0, 0.3, 5.0)));
    Sys.sleep(1);
    AtomicInteger begun = new AtomicInteger();
    AtomicInteger whole = new AtomicInteger();
    AtomicInteger cutOff = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    for (int[] reader : READERS) {
      clients.add(
          Sys.daemon(
              "client", () -> read(node, reader[0], reader[1], isTrouble, begun, whole, cutOff)));
      Sys.sleep(0.1);
    }
    for (Thread client : clients) {
      client.join(95000);
    }
    boolean isAlive = node.isAlive();
    node.kill();
    Rec.say("values begun: %d, whole: %d, cut off by the node: %d; node alive: %s", begun.get(),
        whole.get(), cutOff.get(), isAlive);
    if (cutOff.get() > 0 || !isAlive) {
      System.exit(1);
    }
    System.exit(whole.get() == READERS.length ? 0 : 2);
  }

  private static void read(
      Node node,
      int rate,
      int valueBytes,
      boolean isTrouble,
      AtomicInteger begun,
      AtomicInteger whole,
      AtomicInteger cutOff)
      throws IOException {
    try (Client client = new Client(node.port(), 0)) {
      String id = Client.newId();
      double sentAt = Rec.now();
      client.send(Client.readCommand(id, "large-" + valueBytes + "-" + rate, "square-read", 2000));
      client.socket.setSoTimeout(5000);
      Line head = Line.read(client.in);
      if (head == null || !head.word(0).equals("VA")) {
        Rec.line("client gets for O%s: %s", id, head == null ? "END OF STREAM" : head.text);
        return;
      }
      begun.incrementAndGet();
      Rec.line("client O%s: head '%s' after %.3f s", id, head.text, Rec.now() - sentAt);
      int total = Integer.parseInt(head.word(1)) + 2;
      int read = 0;
      double firstAt = Rec.now();
      double lastAt = firstAt;
      double longestPause = 0;
      double saidAt = firstAt;
      byte[] bytes = new byte[isTrouble ? (int) (rate * 1024 * STEP) : 1 << 16];
      String end = null;
      while (read < total && end == null) {
        try {
          int count = client.in.read(bytes, 0, Math.min(bytes.length, total - read));
          end = count < 0 ? "the end of the stream" : null;
          read += Math.max(0, count);
        } catch (IOException e) {
          end = e.getMessage();
        }
        longestPause = Math.max(longestPause, Rec.now() - lastAt);
        lastAt = Rec.now();
        if (lastAt - saidAt > 5) {
          saidAt = lastAt;
          Rec.line("client O%s has read %d of %d bytes", id, read, total);
        }
        if (isTrouble && end == null) {
          Sys.sleepUntil(firstAt + (double) read / (rate * 1024));
        }
      }
      if (end == null) {
        whole.incrementAndGet();
        Rec.say("%d KiB/s: whole, %d bytes in %.1f s", rate, read, Rec.now() - firstAt);
      } else {
        cutOff.incrementAndGet();
        Rec.say("%d KiB/s: cut off after %d of %d bytes and %.1f s by %s; the longest time between"
            + " two reads was %.3f s", rate, read, total, Rec.now() - firstAt, end, longestPause);
      }
    }
  }
}
