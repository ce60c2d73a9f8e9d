import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends a read of a long value and, right behind it on the same connection, a write that
 * must not run twice. The read's cache server resets its connection within the value; the write
 * runs at another cache server, which gives its receipt at once. The write has to get an answer.
 */
final class BehindBrokenValue {
  private static final int SERVERS = 6;
  private static final int ROUNDS = 10;
  private static final int VALUE_BYTES = 256 << 10;
  private static final int RESET_AFTER_MILLIS = 200;
  private static final int DEADLINE_MILLIS = 2000;
  private static final double LOST_SECONDS = 0.5 + 0.05;

  private final Rig rig;
  private final Map<String, String> serverOfKey = new ConcurrentHashMap<>();
  private final Map<String, Double> receiptAt = new ConcurrentHashMap<>();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger lost = new AtomicInteger();
  private int port;

  private BehindBrokenValue(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws Exception {
    Rig.run(arguments[0], rig -> new BehindBrokenValue(rig).run());
  }

  private int run() throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Rig.CacheServer server = rig.new CacheServer("s" + i, this::serve);
      discovery.put(server.id, Rig.entry(server.id, server.port(), i, "active"));
    }
    port = Rig.freePort();
    String services =
        Rig.service("read", "retryable", "all", 0.75, 2.0, 5.0)
            + ","
            + Rig.service("put", "fragile", "all", 0.75, 2.0, 5.0);
    String config =
        Rig.config(port, discovery.port(), "ask", Rig.caps(""), services, discovery.whole());
    Rig.Node node = rig.new Node("n1", port, config).start();
    if (!node.awaitReady(30_000)) {
      rig.say("the node was not ready in 30 s");
      return Rig.CANNOT_RUN;
    }
    // Writes whose keys go to the first and to another cache server show who has which key.
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(5000);
      for (int i = 0; i < 100; i++) {
        client.send("ms key" + i + " 1 Ofirst" + i + " Pc=put,d=1000\r\nx\r\n");
        client.answer();
      }
    }
    int rounds = 0;
    for (int i = 0; i + 1 < 100 && rounds < ROUNDS; i++) {
      String server = serverOfKey.get("key" + i);
      String other = serverOfKey.get("key" + (i + 1));
      if (server != null && other != null && !server.equals(other)) {
        rounds++;
        ask("key" + i, "key" + (i + 1), Integer.toString(rounds));
      }
    }
    boolean isAlive = node.process.isAlive();
    rig.say("writes answered %d, lost %d; node alive %b", answered.get(), lost.get(), isAlive);
    if (rounds < ROUNDS) {
      return Rig.CANNOT_RUN;
    }
    return lost.get() > 0 || !isAlive ? Rig.BROKEN : Rig.HELD;
  }

  private void serve(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    rig.log("%s runs %s %s", server.id, command.verb, command.id);
    if (command.verb.equals("ms")) {
      serverOfKey.put(command.key, server.id);
      link.write("HD O" + command.id + " cR" + command.id + "\r\n");
      receiptAt.put(command.id, rig.seconds());
      return;
    }
    byte[] answer = Rig.value(command.id, new byte[VALUE_BYTES]);
    link.write(Arrays.copyOf(answer, answer.length / 2));
    Rig.sleep(RESET_AFTER_MILLIS);
    if (Rig.hasTrouble()) {
      rig.log("%s resets the connection within the value for %s", server.id, command.id);
      link.reset();
    } else {
      link.write(Arrays.copyOfRange(answer, answer.length / 2, answer.length));
    }
  }

  private void ask(String readKey, String writeKey, String round) throws IOException {
    String readId = "long" + round;
    String writeId = "write" + round;
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(8000);
      client.send(
          Rig.read(readKey, readId, "read", DEADLINE_MILLIS)
              + ("ms " + writeKey + " 1 O" + writeId + " Pc=put,d=" + DEADLINE_MILLIS)
              + "\r\nx\r\n");
      try {
        rig.log("%s is answered: %s", readId, client.answer());
      } catch (IOException e) {
        rig.log("%s is not answered whole: %s", readId, e);
      }
      double since = rig.seconds();
      String second = null;
      try {
        second = client.answer();
      } catch (IOException e) {
        rig.log("the connection ends: %s", e);
      }
      double waited = rig.seconds() - since;
      rig.log(
          "%s, whose receipt was given at %s, is answered after %.3f s: %s",
          writeId, receiptAt.get(writeId), waited, second);
      if (second == null || waited > DEADLINE_MILLIS / 1e3 + LOST_SECONDS) {
        lost.incrementAndGet();
        rig.log("LOST %s", writeId);
      } else {
        answered.incrementAndGet();
      }
    }
    Rig.sleep(300);
  }
}
