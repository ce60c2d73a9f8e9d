package shalepaddle.hotrestart;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket as the platform hands it down, in the place of one of our own.
 *
 * <p>It is shared with other processes and never to be closed: the virtual machine would redirect
 * the standard streams as well, and with them the last lines of the log would be gone.
 */
public final class InheritedListener {
  private InheritedListener() {}

  /**
   * The socket that the environment names.
   *
   * @param descriptor as {@code ROUTER_LISTEN_FD} names it; null or empty for none
   * @return null where none is named
   * @throws IOException if that is no listening socket, or not descriptor 0, the only one that a
   *     Java program can take
   */
  public static ServerSocketChannel fromDescriptor(String descriptor) throws IOException {
    if (descriptor == null || descriptor.isEmpty()) {
      return null;
    }
    if (!descriptor.equals("0")) {
      throw new IOException(
          "ROUTER_LISTEN_FD names descriptor '" + descriptor + "', and has to name 0");
    }
    Channel inherited = System.inheritedChannel();
    if (inherited instanceof ServerSocketChannel listener) {
      return listener;
    }
    throw new IOException("ROUTER_LISTEN_FD names descriptor 0, which is no listening socket");
  }
}
