package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Discovery that is asked: a call gets a chunked answer that stays open, with the whole list first,
 * each change in a line of its own, and an empty line every 2 s. While it is down each call ends
 * with 503, and watches end.
 */
final class Discovery {
  private final ServerSocket listener = new ServerSocket();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final List<Socket> watches = new ArrayList<>();
  private long version = 1;
  private boolean isDown;

  /** Calls that failed since the last outage began. */
  private int failedCalls;

  Discovery() throws IOException {
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 64);
    Sys.daemon(
        "discovery",
        () -> {
          while (true) {
            Socket socket = listener.accept();
            Sys.daemon("call", () -> call(socket));
          }
        });
    Sys.daemon(
        "heartbeat",
        () -> {
          while (true) {
            Thread.sleep(2000);
            send("\n");
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Sets a server's entry, and tells it on all watches. */
  synchronized void put(CacheServer server, String state) {
    String entry =
        "{\"id\":\"" + server.id + "\",\"addr\":\"" + server.address()
            + "\",\"zone\":\"budapest\",\"kind\":\"big-box\",\"cell\":0,\"state\":\"" + state
            + "\",\"weight\":1.0,\"started_ms\":0}";
    entries.put(server.id, entry);
    version++;
    Rec.line("discovery: %s is %s, version %d", server.id, state, version);
    send("{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n");
  }

  synchronized String list() {
    return "{\"version\":" + version + ",\"full\":true,\"servers\":["
        + String.join(",", entries.values()) + "]}";
  }

  synchronized void goDown() {
    Rec.line("discovery goes down; %d watches end", watches.size());
    isDown = true;
    failedCalls = 0;
    for (Socket watch : watches) {
      try {
        watch.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
    watches.clear();
  }

  synchronized void comeBack() {
    Rec.line("discovery is back after %d failed calls", failedCalls);
    isDown = false;
  }

  synchronized int failedCalls() {
    return failedCalls;
  }

  synchronized int watchCount() {
    return watches.size();
  }

  private void call(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    Line request = Line.read(in);
    for (Line header = request; header != null && !header.text.isEmpty(); ) {
      header = Line.read(in);
    }
    synchronized (this) {
      OutputStream out = socket.getOutputStream();
      if (isDown) {
        failedCalls++;
        Rec.line("discovery: call answered 503");
        out.write(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                .getBytes(StandardCharsets.US_ASCII));
        socket.close();
        return;
      }
      Rec.line("discovery: %s", request == null ? "no request" : request.text);
      out.write(
          ("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                  + "Transfer-Encoding: chunked\r\n\r\n")
              .getBytes(StandardCharsets.US_ASCII));
      out.write(chunk(list() + "\n"));
      watches.add(socket);
    }
  }

  private static byte[] chunk(String text) {
    return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
        .getBytes(StandardCharsets.US_ASCII);
  }

  private synchronized void send(String text) {
    watches.removeIf(
        watch -> {
          try {
            watch.getOutputStream().write(chunk(text));
            return false;
          } catch (IOException e) {
            return true;
          }
        });
  }
}
