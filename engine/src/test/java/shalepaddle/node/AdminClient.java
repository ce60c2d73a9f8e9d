package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import shalepaddle.testkit.ScriptedPeer;

/** Calls a node's admin server over loopback. */
final class AdminClient {
  record Response(int status, String body) {}

  private final SocketAddress address;

  AdminClient(SocketAddress address) {
    this.address = address;
  }

  Response call(String method, String target) throws IOException {
    try (ScriptedPeer caller = ScriptedPeer.connect(address)) {
      caller.write(method + " " + target + " HTTP/1.1\r\nHost: node\r\n\r\n");
      return readResponse(caller);
    }
  }

  static Response readResponse(ScriptedPeer caller) throws IOException {
    int status = Integer.parseInt(caller.readLine().split(" ", 0)[1]);
    int contentLength = 0;
    for (String line = caller.readLine(); !line.isEmpty(); line = caller.readLine()) {
      if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
        contentLength = Integer.parseInt(line.substring(15).strip());
      }
    }
    String body = new String(caller.readBytes(contentLength), StandardCharsets.UTF_8);
    assertTrue(caller.closedByPeer(), "the connection is not closed after one call");
    return new Response(status, body);
  }

  long readMetric(String name) throws Exception {
    for (String line : call("GET", "/api/telemetry").body().lines().toList()) {
      if (line.startsWith(name + " ")) {
        return Long.parseLong(line.substring(name.length() + 1));
      }
    }
    throw new AssertionError("the telemetry has no metric " + name);
  }

  /** Waits until a metric has this value: published snapshots are some milliseconds old. */
  void awaitMetric(String name, long value) throws Exception {
    long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
    while (readMetric(name) != value) {
      assertTrue(System.nanoTime() < deadlineNanos, name + " is " + readMetric(name));
    }
  }
}
