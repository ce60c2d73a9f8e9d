package shalepaddle.daemon;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * Fills the machine's table of sockets, as other processes on it do: with connections of nobody
 * that have ended, which the kernel keeps for a minute (TIME_WAIT).
 */
final class ClosedSockets {
  /** So many connections to one address leave the machine enough ports for others. */
  private static final int MAX_PER_ADDRESS = 15_000;

  private static final int BACKLOG = 64;

  private ClosedSockets() {}

  /** Leaves this many sockets on the machine, over addresses that nothing else uses. */
  static void leave(int count) throws IOException {
    for (int left = count, host = 1; left > 0; left -= MAX_PER_ADDRESS, host++) {
      InetAddress address = InetAddress.getByAddress(new byte[] {127, 83, 0, (byte) host});
      try (ServerSocket server = new ServerSocket(0, BACKLOG, address)) {
        for (int i = 0; i < Math.min(left, MAX_PER_ADDRESS); i++) {
          openAndClose(server);
        }
      }
    }
  }

  /** The end that closes first keeps the socket. */
  private static void openAndClose(ServerSocket server) throws IOException {
    Socket client = new Socket(server.getInetAddress(), server.getLocalPort());
    Socket accepted = server.accept();
    client.close();
    accepted.close();
  }
}
