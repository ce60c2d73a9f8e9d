package review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 1. A keyed write runs at one cache server, whose connection is reset under it. The node
 * repeats it to another server, which hangs in the middle of its work and goes on after the time in
 * which repeats are dropped. No byte of the repeat may leave the node after that time.
 */
final class LateRepeat {
  private static final int SERVERS = 25;

  /** A fifth of the servers hang. */
  private static final int HANGING_SERVERS = 5;

  private static final int NODES = 20;
  private static final int VALUE_BYTES = 4 << 20;
  private static final int WRITES_PER_ROUND = 5;
  private static final int ROUNDS = 6;

  /** The settings' time for repeats, and the slack of the protocol page. */
  private static final double WINDOW = 1.0;

  private static final double SLACK = 0.05;

  /** How long the servers hang in each round. */
  private static final double HANG = 1.4;

  /** The work of the read that a server has in hand when it hangs. */
  private static final double READ_WORK = 0.4;

  /** The runs of one idempotency key. */
  private static final class Runs {
    double firstAt;
    double lastAt;
    int count;
    int lateCount;
    String text = "";
  }

  private static final Map<String, Runs> RUNS = new LinkedHashMap<>();
  private static final Map<String, String> SERVER_OF_KEY = new ConcurrentHashMap<>();
  private static final Set<String> SLOW_KEYS = ConcurrentHashMap.newKeySet();
  private static final Set<String> HANGING = ConcurrentHashMap.newKeySet();
  private static boolean isTrouble;

  private LateRepeat() {}

  private static void begun(CacheServer server, CacheServer.Job job) {
    if (job.isWrite()) {
      writeBegun(server, job);
      return;
    }
    String key = job.command.word(1);
    SERVER_OF_KEY.putIfAbsent(key, server.id);
    job.answer = CacheServer.served(job, 20);
    boolean isSlow = SLOW_KEYS.contains(key);
    // A hang stops the work on a read too.
    job.readyAt =
        job.begunAt + (isSlow ? READ_WORK + (HANGING.contains(server.id) ? HANG : 0) : 0.02);
    if (isSlow) {
      Rec.line("%s begins the read O%s", server.id, job.id());
    }
  }

  /** Runs a write, unless a run of its key is remembered by the group, which is all servers. */
  private static void writeBegun(CacheServer server, CacheServer.Job job) {
    String key = job.command.property("k");
    job.answer = CacheServer.served(job, 0);
    job.readyAt = job.begunAt + 0.03;
    synchronized (RUNS) {
      Runs runs = RUNS.computeIfAbsent(key, k -> new Runs());
      double now = Rec.now();
      if (runs.count > 0 && now - runs.lastAt <= WINDOW + SLACK) {
        Rec.line("%s drops the repeat k=%s O%s", server.id, key, job.id());
        return;
      }
      runs.count++;
      runs.lastAt = now;
      if (runs.count == 1) {
        runs.firstAt = now;
        job.resetAfter = isTrouble ? 0 : -1;
      } else if (job.endOffset > job.connection.leftPeerBytes && job.connection.leftPeerBytes >= 0) {
        runs.lateCount++;
      }
      runs.text += String.format(" O%s at %s at %.3f s;", job.id(), server.id, now);
      Rec.line("%s RUNS k=%s O%s, run %d, %.3f s after the first; last byte at %d, %d had left the node",
          server.id, key, job.id(), runs.count, now - runs.firstAt, job.endOffset,
          job.connection.leftPeerBytes);
    }
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Rec.open(Path.of(args[1]));
    isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Discovery discovery = new Discovery();
    List<CacheServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      CacheServer server = new CacheServer("s" + i, LateRepeat::begun, 65536);
      servers.add(server);
      discovery.put(server, "active");
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
                + Node.service("sheet-submit", "dedup", 3.0, 0.75, WINDOW)));
    Sys.sleep(1);
    for (int round = 0; round < ROUNDS; round++) {
      round(round, servers, node);
    }
    boolean isAlive = node.isAlive();
    node.kill();
    int broken = 0;
    for (Map.Entry<String, Runs> runs : RUNS.entrySet()) {
      if (runs.getValue().lateCount > 0) {
        broken++;
        Rec.say("k=%s took effect %d times, the later run by bytes that left the node over %.2f s"
            + " after the first run:%s", runs.getKey(), runs.getValue().count, WINDOW + SLACK,
            runs.getValue().text);
      }
    }
    Rec.say("%d of %d keyed writes were sent past the time for repeats and took effect twice;"
        + " node alive: %s", broken, RUNS.size(), isAlive);
    if (broken > 0 || !isAlive) {
      System.exit(1);
    }
    System.exit(RUNS.size() < ROUNDS * WRITES_PER_ROUND / 2 ? 2 : 0);
  }

  private static void round(int round, List<CacheServer> servers, Node node) throws Exception {
    List<CacheServer> hanging = new ArrayList<>();
    Set<String> hangingIds = new HashSet<>();
    for (int i = 0; i < HANGING_SERVERS; i++) {
      CacheServer server = servers.get((i * (SERVERS / HANGING_SERVERS) + round) % SERVERS);
      hanging.add(server);
      hangingIds.add(server.id);
    }
    // One small read of each key shows which server the key goes to.
    List<String> writeKeys = new ArrayList<>();
    Map<String, String> slowKeys = new LinkedHashMap<>();
    try (Client client = new Client(node.port(), 0)) {
      for (int i = 0;
          i < 400 && (slowKeys.size() < HANGING_SERVERS || writeKeys.size() < WRITES_PER_ROUND);
          i++) {
        String key = "sq" + round + "-" + i;
        client.send(Client.readCommand(Client.newId(), key, "square-read", 2000));
        client.answerText(2.5);
        String server = SERVER_OF_KEY.get(key);
        if (server != null && hangingIds.contains(server)) {
          slowKeys.putIfAbsent(server, key);
        } else if (server != null && writeKeys.size() < WRITES_PER_ROUND) {
          writeKeys.add(key);
        }
      }
    }
    Rec.line("round %d: %s hang, writes of %s", round, hangingIds, writeKeys);
    SLOW_KEYS.addAll(slowKeys.values());
    if (isTrouble) {
      HANGING.addAll(hangingIds);
    }
    List<Thread> clients = new ArrayList<>();
    double startAt = Rec.now();
    for (String key : slowKeys.values()) {
      clients.add(ask(node, key, Client.newId(), null));
    }
    Sys.sleepUntil(startAt + 0.1);
    if (isTrouble) {
      hanging.forEach(CacheServer::hang);
    }
    for (String key : writeKeys) {
      String id = Client.newId();
      clients.add(
          ask(node, key, id,
              Client.writeCommand(id, key, "sheet-submit", 2500, VALUE_BYTES, ",k=k" + key)));
    }
    Sys.sleepUntil(startAt + 0.1 + HANG);
    if (isTrouble) {
      hanging.forEach(CacheServer::noteLeftPeer);
      hanging.forEach(CacheServer::resume);
    }
    for (Thread client : clients) {
      client.join(6000);
    }
    HANGING.clear();
    Sys.sleep(1.5);
  }

  private static Thread ask(Node node, String key, String id, byte[] write) {
    return Sys.daemon(
        "client",
        () -> {
          try (Client client = new Client(node.port(), 0)) {
            Rec.line("client sends %s %s O%s", write == null ? "mg" : "ms", key, id);
            client.send(write != null ? write : Client.readCommand(id, key, "square-read", 2000));
            Rec.line("client gets for O%s: %s", id, client.answerText(4));
          }
        });
  }
}
