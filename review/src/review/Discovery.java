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
 * each change in a line of its own, and an empty line every 2 s.
 */
final class Discovery {
  private final ServerSocket listener = new ServerSocket();
  private final Map<String, String> entries = new LinkedHashMap<>();
  private final List<Socket> watches = new ArrayList<>();
  private long version = 1;

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
  void put(CacheServer server, String state) {
    put(server.id, server.address(), state);
  }

  synchronized void put(String id, String address, String state) {
    String entry =
        "{\"id\":\"" + id + "\",\"addr\":\"" + address
            + "\",\"zone\":\"budapest\",\"kind\":\"big-box\",\"cell\":0,\"state\":\"" + state
            + "\",\"weight\":1.0,\"started_ms\":0}";
    entries.put(id, entry);
    version++;
    Rec.line("discovery: %s is %s, version %d", id, state, version);
    send("{\"version\":" + version + ",\"full\":false,\"servers\":[" + entry + "]}\n");
  }

  synchronized String list() {
    return "{\"version\":" + version + ",\"full\":true,\"servers\":["
        + String.join(",", entries.values()) + "]}";
  }

  private void call(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    Line request = Line.read(in);
    for (Line header = request; header != null && !header.text.isEmpty(); ) {
      header = Line.read(in);
    }
    synchronized (this) {
      OutputStream out = socket.getOutputStream();
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
