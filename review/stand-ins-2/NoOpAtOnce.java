import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache server turns a read away twice, the second time some milliseconds late, while a write
 * that must not run twice is being handled on the connection. The node sends a no-op (mn) behind
 * the write; the cache server answers it at once, before the write is done.
 */
final class NoOpAtOnce {
  private static final int SERVERS = 6;
  private static final int ROUNDS = 20;

  /** When the second copy of an answer comes, after the first. */
  private static final int COPY_AFTER_MILLIS = 12;

  /** How long a write takes. */
  private static final int WRITE_MILLIS = 150;

  /** How many reads are served for each one that is turned away. */
  private static final int READS_SERVED = 40;

  private final Rig rig;
  private final Map<String, String> serverOfKey = new ConcurrentHashMap<>();
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger probes = new AtomicInteger();
  private int port;

  private NoOpAtOnce(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws Exception {
    Rig.run(arguments[0], rig -> new NoOpAtOnce(rig).run());
  }

  private int run() throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Rig.CacheServer server = rig.new CacheServer("s" + i, this::serve);
      server.onArrival = this::arrived;
      discovery.put(server.id, Rig.entry(server.id, server.port(), i, "active"));
    }
    port = Rig.freePort();
    String services =
        Rig.service("read", "retryable", "all", 0.75, 2.0, 5.0)
            + ","
            + Rig.service("put", "fragile", "all", 0.3, 1.0, 5.0);
    String config =
        Rig.config(port, discovery.port(), "ask", Rig.caps(""), services, discovery.whole())
            .replace("\"instances\":2", "\"instances\":20");
    Rig.Node node = rig.new Node("n1", port, config).start();
    if (!node.awaitReady(30_000)) {
      rig.say("the node was not ready in 30 s");
      return Rig.CANNOT_RUN;
    }
    List<String> keys = keysOf("s0");
    if (keys.size() < 3) {
      rig.say("too few keys go to one cache server");
      return Rig.CANNOT_RUN;
    }
    for (int round = 0; round < ROUNDS; round++) {
      play(keys, round);
    }
    int twice = 0;
    for (Map.Entry<String, List<String>> entry : runs.entrySet()) {
      if (entry.getValue().size() > 1) {
        twice++;
        rig.log("RAN TWICE: %s at %s", entry.getKey(), entry.getValue());
      }
    }
    boolean isAlive = node.process.isAlive();
    rig.say(
        "%d rounds, %d no-ops, %d writes ran twice, %d were refused though run; node alive %b",
        ROUNDS, probes.get(), twice, refused.get(), isAlive);
    return twice + refused.get() > 0 || !isAlive ? Rig.BROKEN : Rig.HELD;
  }

  /** A no-op is answered at once; writes begin as they arrive. */
  private boolean arrived(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    rig.log("%s gets %s %s", server.id, command.verb, command.id);
    if (command.verb.equals("mn")) {
      probes.incrementAndGet();
      link.write("MN\r\n");
      return true;
    }
    if (command.verb.equals("ms")) {
      runs.computeIfAbsent(command.id, id -> new ArrayList<>()).add(server.id);
    }
    return false;
  }

  /** Answers in the order of the commands. */
  private void serve(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    if (command.verb.equals("ms")) {
      serverOfKey.put(command.key, server.id);
      if (command.id.startsWith("write")) {
        Rig.sleep((long) (1e3 * (command.arrived + WRITE_MILLIS / 1e3 - rig.seconds())));
      }
      link.write("HD O" + command.id + " cR" + command.id + "\r\n");
    } else if (server.id.equals("s0") && command.id.startsWith("read")) {
      rig.log("%s turns %s away", server.id, command.id);
      link.write("SERVER_ERROR busy\r\n");
      if (Rig.hasTrouble() && link.isQueueEmpty) {
        Rig.sleep(COPY_AFTER_MILLIS);
        rig.log("%s answers %s once more", server.id, command.id);
        link.write("SERVER_ERROR busy\r\n");
      }
    } else {
      link.write(Rig.value(command.id + " h1", new byte[5]));
    }
  }

  private List<String> keysOf(String server) throws IOException {
    List<String> keys = new ArrayList<>();
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(5000);
      for (int i = 0; i < 200; i++) {
        client.send("ms key" + i + " 1 Ofirst" + i + " Pc=put,d=1000\r\nx\r\n");
        client.answer();
        if (server.equals(serverOfKey.get("key" + i))) {
          keys.add("key" + i);
        }
      }
    }
    return keys;
  }

  private void play(List<String> keys, int round) throws IOException {
    String readKey = keys.get(round % keys.size());
    String writeKey = keys.get((round + 1) % keys.size());
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(4000);
      for (int i = 0; i < READS_SERVED; i++) {
        client.send(Rig.read("key" + i, "good" + round + "-" + i, "read", 2000));
        client.answer();
      }
      client.send(Rig.read(readKey, "read" + round, "read", 2000));
      rig.log("read%d is answered: %s", round, client.answer());
      client.send("ms " + writeKey + " 1 Owrite" + round + " Pc=put,d=1000\r\nx\r\n");
      String answer = client.answer();
      boolean hasRun = runs.containsKey("write" + round);
      rig.log("write%d, which has run: %b, is answered: %s", round, hasRun, answer);
      if (hasRun && answer != null && answer.startsWith("SERVER_ERROR busy")) {
        refused.incrementAndGet();
        rig.log("REFUSED THOUGH RUN: write%d", round);
      }
    }
    Rig.sleep(500);
  }
}
