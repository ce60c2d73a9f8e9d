package review;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 2. Cache servers turn some requests away. Some answers are spoilt: the second copy of a
 * rejection comes some milliseconds late, or a write's answer bears the id of another request. No
 * write that has run may be run again or be refused.
 */
final class CopyAndWrongId {
  private static final int SERVERS = 6;
  private static final int NODES = 20;
  private static final double ONE_WAY = 0.015;
  private static final double SECONDS = 50;
  private static final int CLIENTS = 24;
  private static final double REJECTED_SHARE = 0.1;
  private static final double WRONG_ID_SHARE = 0.05;
  private static final double WRITE_SHARE = 0.8;
  private static final SplittableRandom RANDOM = new SplittableRandom(62);

  /** What ran, by what the client wants done: the same in a client's retry, under another id. */
  private static final Map<String, StringBuffer> RUNS = new ConcurrentHashMap<>();

  private static final Map<String, AtomicInteger> RUN_COUNTS = new ConcurrentHashMap<>();
  private static final Set<String> RAN_IDS = ConcurrentHashMap.newKeySet();
  private static final AtomicInteger REFUSED = new AtomicInteger();
  private static final AtomicInteger SENT_AGAIN = new AtomicInteger();
  private static boolean isTrouble;

  private CopyAndWrongId() {}

  private static synchronized double draw() {
    return RANDOM.nextDouble();
  }

  private static void arrived(FarServer server, FarServer.Job job) {
    boolean isRejected = draw() < REJECTED_SHARE;
    double workSeconds = 0.004 + 0.02 * draw();
    double copyAfter = 0.002 + 0.01 * draw();
    boolean hasWrongId = draw() < WRONG_ID_SHARE;
    if (isRejected) {
      job.answer = "SERVER_ERROR busy\r\n".getBytes(StandardCharsets.US_ASCII);
      job.copyAfter = isTrouble ? copyAfter : -1;
      Rec.line("%s turns away O%s", server.id, job.id());
      return;
    }
    job.workSeconds = workSeconds;
    job.hasWrongId = isTrouble && hasWrongId && job.isWrite();
    String text =
        job.isWrite()
            ? "HD O" + job.id() + " cR" + job.id() + "\r\n"
            : "VA 2 O" + job.id() + " h1\r\nok\r\n";
    job.answer = text.getBytes(StandardCharsets.US_ASCII);
    if (!job.isWrite()) {
      Rec.line("%s runs mg O%s", server.id, job.id());
      return;
    }
    String deed = new String(job.command.value, StandardCharsets.US_ASCII);
    Rec.line("%s RUNS ms O%s, deed %s", server.id, job.id(), deed);
    if (!RAN_IDS.add(job.id())) {
      SENT_AGAIN.incrementAndGet();
    }
    RUNS.computeIfAbsent(deed, key -> new StringBuffer())
        .append(String.format(" O%s at %s, %.4f;", job.id(), server.id, Rec.now()));
    RUN_COUNTS.computeIfAbsent(deed, key -> new AtomicInteger()).incrementAndGet();
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Rec.open(Path.of(args[1]));
    isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Discovery discovery = new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      FarServer server = new FarServer("s" + i, ONE_WAY, CopyAndWrongId::arrived);
      discovery.put(server.id, server.address(), "active");
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
    Map<String, AtomicInteger> answers = new ConcurrentHashMap<>();
    List<Thread> clients = new ArrayList<>();
    double until = Rec.now() + SECONDS;
    for (int i = 0; i < CLIENTS; i++) {
      int seed = i;
      clients.add(Sys.daemon("client", () -> ask(node, seed, until, answers)));
    }
    for (Thread client : clients) {
      client.join((long) (SECONDS * 1000) + 8000);
    }
    boolean isAlive = node.isAlive();
    node.kill();
    int twice = 0;
    for (Map.Entry<String, AtomicInteger> count : RUN_COUNTS.entrySet()) {
      if (count.getValue().get() > 1) {
        twice++;
        Rec.say("deed %s was done %d times:%s", count.getKey(), count.getValue().get(),
            RUNS.get(count.getKey()));
      }
    }
    Rec.say("of %d writes that ran, %d were sent and run again by the node, and %d were refused; %d"
            + " deeds were done twice; answers %s; node alive: %s",
        RAN_IDS.size(), SENT_AGAIN.get(), REFUSED.get(), twice, answers, isAlive);
    if (SENT_AGAIN.get() + REFUSED.get() > 0 || !isAlive) {
      System.exit(1);
    }
    System.exit(RAN_IDS.size() < 500 ? 2 : 0);
  }

  /** A client, which sends a refused write again once, under a new id. */
  private static void ask(Node node, int seed, double until, Map<String, AtomicInteger> answers)
      throws IOException {
    SplittableRandom random = new SplittableRandom(seed);
    Client client = new Client(node.port(), 0);
    for (int number = 0; Rec.now() < until; number++) {
      boolean isWrite = random.nextDouble() < WRITE_SHARE;
      String key = "k" + random.nextInt(300);
      String deed = String.format("%010d", seed * 1_000_000 + number);
      String answer = null;
      for (int attempt = 0; attempt == 0 || (attempt == 1 && isWrite && isBusy(answer)); attempt++) {
        String id = Client.newId();
        Rec.line("client sends %s %s O%s, deed %s", isWrite ? "ms" : "mg", key, id, deed);
        try {
          client.send(
              isWrite
                  ? ("ms " + key + " 10 O" + id + " Pc=sheet-submit,d=1000\r\n" + deed + "\r\n")
                      .getBytes(StandardCharsets.US_ASCII)
                  : Client.readCommand(id, key, "square-read", 2000));
          answer = client.answerText(3);
        } catch (IOException e) {
          answer = "BROKEN: " + e.getMessage();
        }
        Rec.line("client gets for O%s: %s", id, answer);
        String kind = answer.startsWith("SERVER_ERROR") ? answer : answer.split(" ")[0];
        answers.computeIfAbsent(kind, k -> new AtomicInteger()).incrementAndGet();
        if (isWrite && isBusy(answer) && RAN_IDS.contains(id)) {
          REFUSED.incrementAndGet();
          Rec.line("write O%s was refused and had run", id);
        }
        if (!Client.isWhole(answer)) {
          client.close();
          client = new Client(node.port(), 0);
        }
      }
      Sys.sleep(0.03 * random.nextDouble());
    }
    client.close();
  }

  private static boolean isBusy(String answer) {
    return answer != null && answer.startsWith("SERVER_ERROR busy");
  }
}
