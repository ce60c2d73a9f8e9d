package review;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Case 2. A client asks for a large value and, while the value comes, sends a write on the same connection.
 * The connection of the value's cache server is reset under it.
 */
final class BehindValue {
  private static final int SERVERS = 6;
  private static final int NODES = 3;
  private static final int VALUE_BYTES = 1 << 20;
  private static final int GIVEN_BYTES = 400_000;
  private static final int ROUNDS = 5;
  private static final Map<String, String> RAN = new ConcurrentHashMap<>();
  private static boolean isTrouble;

  private BehindValue() {}

  private static void begun(CacheServer server, CacheServer.Job job) {
    boolean isLarge = job.command.word(1).startsWith("large");
    job.answer = CacheServer.served(job, isLarge ? VALUE_BYTES : 20);
    job.readyAt = job.begunAt + 0.03;
    if (isLarge && isTrouble) {
      job.resetAfter = GIVEN_BYTES;
      job.resetDelay = 0.4;
    }
    if (job.isWrite()) {
      RAN.put(job.id(), server.id);
    }
    Rec.line("%s begins O%s %s", server.id, job.id(), job.command.word(1));
  }

  public static void main(String[] args) throws Exception {
    Path root = Path.of(args[0]);
    Rec.open(Path.of(args[1]));
    isTrouble = !"0".equals(System.getenv("TROUBLE"));
    Discovery discovery = new Discovery();
    for (int i = 0; i < SERVERS; i++) {
      discovery.put(new CacheServer("s" + i, BehindValue::begun, 0), "active");
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
    int lost = 0;
    int answered = 0;
    for (int round = 0; round < ROUNDS; round++) {
      try (Client client = new Client(node.port(), 0)) {
        String readId = Client.newId();
        String writeId = Client.newId();
        client.send(Client.readCommand(readId, "large" + round, "square-read", 2000));
        client.socket.setSoTimeout(3000);
        Line head = Line.read(client.in);
        Rec.line("client gets the head of O%s: %s", readId, head.text);
        client.send(Client.writeCommand(writeId, "sheet" + round, "sheet-submit", 1000, 100, ""));
        Rec.line("client sends the write O%s", writeId);
        String answer;
        try {
          head.readValue(client.in, Integer.parseInt(head.word(1)));
          Rec.line("client has the whole value of O%s", readId);
          answer = client.answerText(2);
        } catch (IOException e) {
          answer = "BROKEN: " + e.getMessage();
        }
        boolean isAnswered = Client.isWhole(answer);
        answered += isAnswered ? 1 : 0;
        boolean isLost = !isAnswered && RAN.containsKey(writeId);
        lost += isLost ? 1 : 0;
        Rec.say("write O%s, which ran at %s, is answered: %s", writeId, RAN.get(writeId), answer);
      }
    }
    boolean isAlive = node.isAlive();
    node.kill();
    Rec.say("%d of %d writes were forwarded and run, and lost their answer; node alive: %s", lost,
        ROUNDS, isAlive);
    System.exit(lost > 0 || !isAlive ? 1 : answered == ROUNDS ? 0 : 2);
  }
}
