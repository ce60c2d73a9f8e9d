package shalepaddle.hotrestart;

import java.io.IOException;
import java.nio.channels.Channel;
import java.nio.channels.ServerSocketChannel;

/**
 * The listening socket for clients that the platform opened and this process inherited.
 *
 * <p>The socket is shared with other processes and must never be closed: the virtual machine would
 * also redirect the standard streams, and the last lines of the log would be lost.
 */
public final class InheritedListener {
  private InheritedListener() {}

  /**
   * Returns the socket of a descriptor.
   *
   * @param descriptor the value of {@code ROUTER_LISTEN_FD}; null or empty for none
   * @return the socket, null if there is no descriptor
   * @throws IOException if the descriptor is not a listening socket, or is not 0, the only
   *     descriptor that a Java program can inherit as a channel
   */
  public static ServerSocketChannel fromDescriptor(String descriptor) throws IOException {
    if (descriptor == null || descriptor.isEmpty()) {
      return null;
    }
    if (!descriptor.equals("0")) {
      throw new IOException(
          "ROUTER_LISTEN_FD names descriptor '" + descriptor + "', but must name 0");
    }
    Channel inheritedChannel = System.inheritedChannel();
    if (inheritedChannel instanceof ServerSocketChannel listener) {
      return listener;
    }
    throw new IOException("ROUTER_LISTEN_FD names descriptor 0, which is not a listening socket");
  }
}
