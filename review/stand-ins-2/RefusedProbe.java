import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache server answers a read twice, the second time some milliseconds late, and its queue is
 * full for a short time after that. The node then sends a probe (mn) on the connection, which is
 * turned away, as the settings allow, and behind it a write that must not run twice.
 */
final class RefusedProbe {
  private static final int SERVERS = 6;
  private static final int ROUNDS = 20;

  /** When the second copy of an answer comes, after the first. */
  private static final int COPY_AFTER_MILLIS = 12;

  /** When the queue is full, after a read that is answered twice. */
  private static final int FULL_FROM_MILLIS = 35;

  private static final int FULL_UNTIL_MILLIS = 95;

  /** How long the read takes that is sent right behind the first. */
  private static final int READ_MILLIS = 220;

  /** When the write is sent, after the first read's answer. */
  private static final int WRITE_AFTER_MILLIS = 130;

  private final Rig rig;
  private final Map<String, String> serverOfKey = new ConcurrentHashMap<>();
  private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
  private final Map<String, Double> fullSince = new ConcurrentHashMap<>();
  private final AtomicInteger probes = new AtomicInteger();
  private final AtomicInteger refusedProbes = new AtomicInteger();
  private int port;

  private RefusedProbe(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws Exception {
    Rig.run(arguments[0], rig -> new RefusedProbe(rig).run());
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
        Rig.config(
                port,
                discovery.port(),
                "ask",
                Rig.caps("").replace("\"probing\":false", "\"probing\":true"),
                services,
                discovery.whole())
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
        "%d rounds, %d probes, %d of them turned away, %d writes ran twice; node alive %b",
        ROUNDS, probes.get(), refusedProbes.get(), twice, isAlive);
    return twice > 0 || !isAlive ? Rig.BROKEN : Rig.HELD;
  }

  /** Whether a command is turned away is decided as it arrives, and all others begin then. */
  private boolean arrived(Rig.CacheServer server, Rig.Link link, Rig.Command command) {
    Double since = fullSince.get(server.id);
    double millis = since == null ? Double.MAX_VALUE : 1e3 * (command.arrived - since);
    command.isTurnedAway = millis >= FULL_FROM_MILLIS && millis < FULL_UNTIL_MILLIS;
    if (command.id != null && command.id.startsWith("twice")) {
      fullSince.put(server.id, command.arrived);
    }
    if (command.verb.equals("mn")) {
      probes.incrementAndGet();
      refusedProbes.addAndGet(command.isTurnedAway ? 1 : 0);
    } else if (command.verb.equals("ms") && !command.isTurnedAway) {
      runs.computeIfAbsent(command.id, id -> new ArrayList<>()).add(server.id);
    }
    rig.log(
        "%s gets %s %s: %s",
        server.id, command.verb, command.id, command.isTurnedAway ? "turned away" : "begins");
    return false;
  }

  /** Answers in the order of the commands. */
  private void serve(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    if (command.isTurnedAway) {
      link.write("SERVER_ERROR busy\r\n");
      return;
    }
    switch (command.verb) {
      case "mn" -> link.write("MN\r\n");
      case "ms" -> {
        serverOfKey.put(command.key, server.id);
        link.write("HD O" + command.id + " cR" + command.id + "\r\n");
      }
      default -> {
        byte[] answer = Rig.value(command.id + " h1", new byte[5]);
        if (command.id.startsWith("slow")) {
          Rig.sleep((long) (1e3 * (command.arrived + READ_MILLIS / 1e3 - rig.seconds())));
        }
        link.write(answer);
        if (command.id.startsWith("twice") && Rig.hasTrouble()) {
          Rig.sleep(COPY_AFTER_MILLIS);
          rig.log("%s answers %s once more", server.id, command.id);
          link.write(answer);
        }
      }
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
    int count = keys.size();
    String first = keys.get(round % count);
    String second = keys.get((round + 1) % count);
    String third = keys.get((round + 2) % count);
    try (Rig.Client reader = rig.new Client(port);
        Rig.Client writer = rig.new Client(port)) {
      reader.socket.setSoTimeout(4000);
      writer.socket.setSoTimeout(4000);
      reader.send(Rig.read(first, "twice" + round, "read", 2000));
      rig.log("twice%d is answered: %s", round, reader.answer());
      double since = rig.seconds();
      reader.send(Rig.read(second, "slow" + round, "read", 2000));
      Rig.sleep((long) (1e3 * (since + WRITE_AFTER_MILLIS / 1e3 - rig.seconds())));
      writer.send("ms " + third + " 1 Owrite" + round + " Pc=put,d=1000\r\nx\r\n");
      rig.log("slow%d is answered: %s", round, reader.answer());
      rig.log("write%d is answered: %s", round, writer.answer());
    }
    Rig.sleep(500);
  }
}
