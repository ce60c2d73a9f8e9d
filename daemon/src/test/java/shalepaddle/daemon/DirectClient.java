package shalepaddle.daemon;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import shalepaddle.testkit.ScriptedPeer;

/**
 * A client that exceeds the protocol's limits, such as the number of requests pipelined on a
 * connection, and checks that each request is answered in time.
 */
final class DirectClient {
  private static final int PIPELINED_REQUESTS = 150;
  private static final int DEADLINE_MILLIS = 400;
  private static final int REQUESTS_WITH_REPEATS = 60;

  private final InetSocketAddress node;
  private final long graceMillis;
  private final int clientNumber;

  /**
   * Creates a client without a connection.
   *
   * @param graceMillis how long after the deadline of a request its answer may come
   * @param clientNumber part of the request ids, by which they differ from those of other clients
   */
  DirectClient(InetSocketAddress node, long graceMillis, int clientNumber) {
    this.node = node;
    this.graceMillis = graceMillis;
    this.clientNumber = clientNumber;
  }

  /**
   * Sends an invalid command, and pipelines more requests than may be unanswered on a connection.
   *
   * @return a description of the first closed connection or late answer, null if there is none
   */
  String pipelineAfterError() throws IOException {
    StringBuilder commands = new StringBuilder("mg key v\r\n");
    for (int i = 0; i < PIPELINED_REQUESTS; i++) {
      commands.append(formatReadCommand("pipe", i, ""));
    }
    try (ScriptedPeer client = ScriptedPeer.connect(node)) {
      long sentAtNanos = System.nanoTime();
      client.write(commands.toString());
      for (int answerCount = 0; answerCount <= PIPELINED_REQUESTS; answerCount++) {
        if (!readAnswer(client)) {
          return "pipeline: connection closed after " + answerCount + " answers";
        }
      }
      return describeLateness("pipeline", sentAtNanos);
    }
  }

  /**
   * Sends reads one after the other without a pause, all but the first marked as retries.
   *
   * @return a description of the first closed connection or late answer, null if there is none
   */
  String repeatWithoutBackoff() throws IOException {
    try (ScriptedPeer client = ScriptedPeer.connect(node)) {
      for (int i = 0; i < REQUESTS_WITH_REPEATS; i++) {
        long sentAtNanos = System.nanoTime();
        client.write(formatReadCommand("repeat", i, i == 0 ? "" : ",r=1"));
        if (!readAnswer(client)) {
          return "repeat: connection closed after " + i + " requests";
        }
        String violation = describeLateness("repeat", sentAtNanos);
        if (violation != null) {
          return violation;
        }
      }
      return null;
    }
  }

  private String formatReadCommand(String idPrefix, int index, String moreFields) {
    return "mg key%d v O%s%d-%d Pc=read,d=%d%s\r\n"
        .formatted(index, idPrefix, clientNumber, index, DEADLINE_MILLIS, moreFields);
  }

  /** Reads an answer and its value, if any; returns false if the connection was closed. */
  private static boolean readAnswer(ScriptedPeer client) throws IOException {
    String line = client.readLine();
    if (line != null && line.startsWith("VA ")) {
      client.readLine();
    }
    return line != null;
  }

  /** Describes an answer that came too late; returns null if it came in time. */
  private String describeLateness(String requestName, long sentAtNanos) {
    long answerMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAtNanos);
    return answerMillis > DEADLINE_MILLIS + graceMillis
        ? requestName + " answered after " + answerMillis + " ms"
        : null;
  }
}
