import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients send many reads at once on each connection, the values are long but at most 64 KiB, and
 * the origin becomes slow: one read in ten is a miss, and takes seven times as long as before. The
 * answers behind a miss wait at the node, since answers come in the order of the commands. Every
 * request has to get its final answer in time; an ordinary client with one read at a time shows
 * whether the node works at all.
 */
final class PipelinedReads {
  private static final int SERVERS = 8;
  private static final int CLIENTS = 25;
  private static final int COMMANDS = 48;
  private static final int KEYS = 400;
  private static final int VALUE_BYTES = 64 << 10;
  private static final byte[] LONG_VALUE = new byte[VALUE_BYTES];
  private static final int DEADLINE_MILLIS = 2000;

  /** How long a miss takes, and how many times as long while the origin is slow. */
  private static final int MISS_MILLIS = 140;

  private static final int SLOW_ORIGIN_MULTIPLE = 7;
  private static final int SLOW_ORIGIN_MILLIS = 10_000;

  /** One read in this many asks for a key that no cache server has. */
  private static final int READS_PER_MISS = 10;

  /** In each of these seconds as many clients come: 1,200 requests a second. */
  private static final int SECONDS = 4;

  /** The time after the deadline from which a request without an answer is lost. */
  private static final double LOST_SECONDS = 0.5 + 0.05;

  private final Rig rig;
  private final AtomicInteger broken = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger ids = new AtomicInteger();
  private volatile boolean isOriginSlow;
  private volatile boolean hasEnded;
  private volatile double worstSeconds;
  private int port;

  private PipelinedReads(Rig rig) {
    this.rig = rig;
  }

  public static void main(String[] arguments) throws Exception {
    Rig.run(arguments[0], rig -> new PipelinedReads(rig).run());
  }

  private int run() throws Exception {
    Rig.Discovery discovery = rig.new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      Rig.CacheServer server = rig.new CacheServer("s" + i, this::serve);
      discovery.put(server.id, Rig.entry(server.id, server.port(), i, "active"));
    }
    port = Rig.freePort();
    String config =
        Rig.config(
            port,
            discovery.port(),
            "ask",
            Rig.caps(""),
            Rig.service("read", "retryable", "all", 0.75, 2.0, 5.0),
            discovery.whole());
    Rig.Node node = rig.new Node("n1", port, config).start();
    if (!node.awaitReady(30_000)) {
      rig.say("the node was not ready in 30 s");
      return Rig.CANNOT_RUN;
    }
    if (!warmUp()) {
      return Rig.CANNOT_RUN;
    }
    Thread probe = Rig.start("probe", this::probe);
    Rig.sleep(500);
    isOriginSlow = Rig.hasTrouble();
    rig.say("clients begin; the origin is slow: %b", isOriginSlow);
    Rig.start(
        "origin",
        () -> {
          Rig.sleep(SLOW_ORIGIN_MILLIS);
          isOriginSlow = false;
        });
    CountDownLatch clients = new CountDownLatch(SECONDS * CLIENTS);
    for (int second = 0; second < SECONDS; second++) {
      double until = rig.seconds() + 1;
      for (int i = 0; i < CLIENTS; i++) {
        Random random = new Random(second * CLIENTS + i);
        Rig.start(
            "client",
            () -> {
              try {
                batch(random);
              } finally {
                clients.countDown();
              }
            });
        Rig.sleep(1000 / CLIENTS);
      }
      Rig.sleep((long) (1e3 * (until - rig.seconds())));
    }
    boolean haveAllEnded = clients.await(70, TimeUnit.SECONDS);
    Rig.sleep(1000);
    hasEnded = true;
    probe.join(10_000);
    boolean isAlive = node.process.isAlive();
    rig.say(
        "answered %d, lost %d, longest wait of the ordinary client %.2f s, node alive %b",
        answered.get(),
        broken.get(),
        worstSeconds,
        isAlive);
    return broken.get() > 0 || !isAlive || !haveAllEnded ? Rig.BROKEN : Rig.HELD;
  }

  /**
   * Begins every command as it arrives, and answers in order: the time of a miss counts from its
   * arrival.
   */
  private void serve(Rig.CacheServer server, Rig.Link link, Rig.Command command)
      throws IOException {
    boolean isMiss = command.key.startsWith("miss");
    if (isMiss) {
      double missSeconds = MISS_MILLIS * (isOriginSlow ? SLOW_ORIGIN_MULTIPLE : 1) / 1e3;
      Rig.sleep((long) (1e3 * (command.arrived + missSeconds - rig.seconds())));
    }
    rig.log("%s runs %s %s", server.id, command.verb, command.id);
    byte[] answer = command.key.startsWith("short") ? new byte[10] : LONG_VALUE;
    link.write(Rig.value(command.id + (isMiss ? " h0" : " h1"), answer));
  }

  /** Reads all keys one after the other, so that the node knows which server has them. */
  private boolean warmUp() throws IOException {
    int served = 0;
    try (Rig.Client client = rig.new Client(port)) {
      client.socket.setSoTimeout(5000);
      for (int i = 0; i < 2 * KEYS; i++) {
        client.send(Rig.read("long" + i % KEYS, "w" + i, "read", DEADLINE_MILLIS));
        String answer = client.answer();
        served += answer != null && answer.startsWith("VA ") ? 1 : 0;
      }
    }
    rig.say("warm-up: %d of %d reads served", served, 2 * KEYS);
    return served > KEYS;
  }

  /** Sends many reads at once and awaits their answers. */
  private void batch(Random random) throws IOException {
    try (Rig.Client client = rig.new Client(port)) {
      StringBuilder commands = new StringBuilder();
      List<String> sent = new ArrayList<>();
      for (int i = 0; i < COMMANDS; i++) {
        String id = "p" + ids.incrementAndGet();
        sent.add(id);
        String key =
            random.nextInt(READS_PER_MISS) == 0 ? "miss-" + id : "long" + random.nextInt(KEYS);
        commands.append(Rig.read(key, id, "read", DEADLINE_MILLIS));
      }
      client.send(commands.toString());
      double since = rig.seconds();
      for (String id : sent) {
        since = await(client, id, since);
      }
    } catch (IOException e) {
      rig.log("a client's connection ended: %s", e);
    }
  }

  /** Awaits an answer; the wait for the answers before it does not count. */
  private double await(Rig.Client client, String id, double since) throws IOException {
    client.socket.setSoTimeout(30_000);
    String answer;
    try {
      answer = client.answer();
    } catch (SocketTimeoutException e) {
      answer = "nothing in 30 s";
    } catch (IOException e) {
      answer = null;
    }
    double now = rig.seconds();
    boolean isInTime = now - since <= DEADLINE_MILLIS / 1e3 + LOST_SECONDS;
    rig.log("%s answered after %.3f s: %s", id, now - since, answer);
    if (answer == null || !isInTime) {
      broken.incrementAndGet();
      rig.log("LOST %s: %s after %.3f s", id, answer, now - since);
      if (answer == null) {
        throw new IOException("closed");
      }
    } else {
      answered.incrementAndGet();
    }
    return now;
  }

  /** An ordinary client: one read at a time, each on a new connection. */
  private void probe() {
    for (int i = 0; !hasEnded; i++) {
      double since = rig.seconds();
      try (Rig.Client client = rig.new Client(port)) {
        String id = "o" + i;
        client.send(Rig.read("short" + i % 20, id, "read", DEADLINE_MILLIS));
        worstSeconds = Math.max(worstSeconds, await(client, id, since) - since);
      } catch (IOException e) {
        rig.log("the ordinary client's connection ended: %s", e);
      }
      Rig.sleep(100);
    }
  }
}
