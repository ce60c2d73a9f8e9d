package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/** What the system holds of a loopback connection, as /proc/net/tcp and /proc/net/tcp6 show it. */
final class SystemQueues {
  private SystemQueues() {}

  /**
   * The bytes that were written at the remote port and not read at the local one: the send queue of
   * the one end and the receive queue of the other. Bytes in both queues count twice, so this is an
   * upper bound. -1 if an end is not listed.
   */
  static long heldBytes(int localPort, int remotePort) {
    long sendQueue = -1;
    long receiveQueue = -1;
    for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
      try {
        for (String row : Files.readAllLines(Path.of(table))) {
          String[] cells = row.trim().split("\\s+");
          if (cells.length < 5 || !cells[1].contains(":") || !cells[2].contains(":")) {
            continue;
          }
          int from = port(cells[1]);
          int to = port(cells[2]);
          String[] queues = cells[4].split(":");
          if (from == remotePort && to == localPort) {
            sendQueue = Long.parseLong(queues[0], 16);
          } else if (from == localPort && to == remotePort) {
            receiveQueue = Long.parseLong(queues[1], 16);
          }
        }
      } catch (IOException | NumberFormatException e) {
        // The table does not exist or has another form.
      }
    }
    return sendQueue < 0 || receiveQueue < 0 ? -1 : sendQueue + receiveQueue;
  }

  private static int port(String address) {
    String text = address.substring(address.lastIndexOf(':') + 1);
    return text.matches("[0-9A-Fa-f]{4}") ? Integer.parseInt(text, 16) : -1;
  }
}
