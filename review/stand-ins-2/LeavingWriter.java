import java.io.IOException;
import java.util.Arrays;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A client sends a long write and closes its connection 0.3 s later. The write's cache server
 * hangs at that time: it reads nothing for 2 s, so that a part of the write is still at the node.
 * What is left must not be sent on for a client that has gone. The settings forbid to cancel
 * attempts that were sent; an attempt begins when its last byte has come.
 */
final class LeavingWriter {
  private static final int SERVERS = 20;
  private static final int ROUNDS = 5;
  private static final int VALUE_BYTES = 4 << 20;
  private static final int LEAVES_AFTER_MILLIS = 300;
  private static final int HANG_MILLIS = 2000;

  /** The time after the close in which an attempt may begin, with 50 ms of slack. */
  private static final double ALLOWED_SECONDS = 0.1 + 0.05;

  private final Rig rig;
  private final Map<String, Double> closedAt = new ConcurrentHashMap<>();
  private final Map<String, String> serverOfKey = new ConcurrentHashMap<>();
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger longWrites = new AtomicInteger();
  private volatile boolean isHanging;
  private int port;

  private LeavingWriter(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws Exception {
    Rig.run(arguments[0], rig -> new LeavingWriter(rig).run());
  }

  private int run() throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Rig.CacheServer server = rig.new CacheServer("s" + i, this::serve);
      if (i == 0) {
        server.pauses = () -> isHanging;
      }
      discovery.put(server.id, Rig.entry(server.id, server.port(), i, "active"));
    }
    port = Rig.freePort();
    String caps = Rig.caps("").replace("\"cancel\":true", "\"cancel\":false");
    String config =
        Rig.config(
            port,
            discovery.port(),
            "ask",
            caps,
            Rig.service("put", "fragile", "all", 0.75, 3.0, 5.0),
            discovery.whole());
    Rig.Node node = rig.new Node("n1", port, config).start();
    if (!node.awaitReady(30_000)) {
      rig.say("the node was not ready in 30 s");
      return Rig.CANNOT_RUN;
    }
    String key = keyOfFirstServer();
    if (key == null) {
      rig.say("no key goes to the cache server that hangs");
      return Rig.CANNOT_RUN;
    }
    for (int round = 0; round < ROUNDS; round++) {
      leave(key, "long" + round);
    }
    boolean isAlive = node.process.isAlive();
    rig.say(
        "%d of %d long writes came whole, %d of them after their client had gone; node alive %b",
        longWrites.get(), ROUNDS, broken.get(), isAlive);
    return broken.get() > 0 || !isAlive ? Rig.BROKEN : Rig.HELD;
  }

  private void serve(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    serverOfKey.put(command.key, server.id);
    rig.log(
        "%s runs %s %s, came whole at %.4f",
        server.id, command.verb, command.id, command.arrived);
    if (command.id.startsWith("long")) {
      longWrites.incrementAndGet();
      Double closed = closedAt.get(command.id);
      if (closed != null && command.arrived - closed > ALLOWED_SECONDS) {
        broken.incrementAndGet();
        rig.log(
            "BROKEN: %s began %.3f s after its client closed",
            command.id, command.arrived - closed);
      }
    }
    link.write("HD O" + command.id + " cR" + command.id + "\r\n");
  }

  /** A key whose writes go to the first cache server. */
  private String keyOfFirstServer() throws IOException {
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(5000);
      for (int i = 0; i < 400; i++) {
        String key = "sheet" + i;
        client.send("ms " + key + " 1 Oshort" + i + " Pc=put,d=1000\r\nx\r\n");
        client.answer();
        if ("s0".equals(serverOfKey.get(key))) {
          return key;
        }
      }
    }
    return null;
  }

  private void leave(String key, String id) throws IOException {
    byte[] value = new byte[VALUE_BYTES];
    Arrays.fill(value, (byte) 'x');
    isHanging = Rig.hasTrouble();
    rig.log("the cache server of %s hangs: %b", key, isHanging);
    // Bytes that it was already waiting for are still read.
    Rig.sleep(100);
    double until = rig.seconds() + HANG_MILLIS / 1e3;
    Rig.Client client = rig.new Client(port);
    client.send("ms " + key + " " + VALUE_BYTES + " O" + id + " Pc=put,d=3000\r\n");
    client.out.write(value);
    client.send("\r\n");
    rig.log("%s is sent", id);
    Rig.sleep(LEAVES_AFTER_MILLIS);
    client.close();
    closedAt.put(id, rig.seconds());
    rig.log("the client of %s closes", id);
    Rig.sleep((long) (1e3 * (until - rig.seconds())));
    isHanging = false;
    rig.log("the cache server reads again");
    Rig.sleep(2500);
  }
}
