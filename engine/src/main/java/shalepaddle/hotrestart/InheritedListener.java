package shalepaddle.hotrestart;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The clients' listening socket that the platform opened and this process inherited.
 *
 * <p>It is shared with other processes and must never be closed: the virtual machine would redirect
 * the standard streams as well, and the last lines of the log would be lost.
 */
public final class InheritedListener {
  private InheritedListener() {}

  /**
   * The socket of a descriptor.
   *
   * @param descriptor the value of {@code ROUTER_LISTEN_FD}; null or empty for none
   * @return the socket, null for no descriptor
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
