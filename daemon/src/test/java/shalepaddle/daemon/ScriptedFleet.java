package shalepaddle.daemon;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import shalepaddle.testkit.BlockingCacheServer;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.StandInDiscovery;

/**
 * A node, started by the deploy file's command, in front of cache servers that a test scripts.
 * Reads may be repeated, writes must not run twice.
 */
final class ScriptedFleet implements Closeable {
  private static final int BACKLOG = 512;

  private final MultiThreadIoEventLoopGroup eventLoops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final List<BlockingCacheServer> servers = new ArrayList<>();
  private final PausableNode node;

  /** Starts the servers, and the node with at most so many attempts for each request. */
  ScriptedFleet(
      Path folder, int serverCount, int maxAttempts, BlockingCacheServer.Responder responder)
      throws Exception {
    this(folder, serverCount, maxAttempts, 1, responder);
  }

  /**
   * Starts the servers, and a node that is one of so many: the more there are, the fewer
   * connections each opens to a server.
   */
  ScriptedFleet(
      Path folder,
      int serverCount,
      int maxAttempts,
      int nodeCount,
      BlockingCacheServer.Responder responder)
      throws Exception {
    EventLoop loop = eventLoops.next();
    StandInDiscovery discovery = new StandInDiscovery(LoopbackTransport.sockets(loop));
    for (int i = 0; i < serverCount; i++) {
      ServerSocket socket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
      servers.add(new BlockingCacheServer(socket, responder));
      StandInDiscovery.Member member =
          new StandInDiscovery.Member(
              "s" + i,
              "127.0.0.1:" + socket.getLocalPort(),
              "a",
              0,
              StandInDiscovery.State.ACTIVE,
              0);
      loop.submit(() -> discovery.put(member)).get();
    }
    discovery.start().sync();
    String serverList = loop.submit(discovery::listJson).get();
    node =
        new PausableNode(
            folder,
            "node",
            port ->
                """
                {"listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"memory_mb":192,"sockets":1024},"known":%s,
                 "settings":{"instances":%d,"discovery":"push",
                  "caps":{"attempts-cap":%d,"cancel":true,"parallel-tries":true,"multiplex":32,
                          "connect-timeout":0.15,"conn-idle":60},
                  "contract":{"ask-within":10,"drain-grace":2,"cold-from":0.1,"warm-within":1},
                  "services":[{"name":"read","effect":"retryable","slo":1,"give-up":2},
                              {"name":"put","effect":"fragile","slo":1,"give-up":2}]}}
                """
                    .formatted(port, discovery.address(), serverList, nodeCount, maxAttempts));
    if (!node.awaitListening()) {
      throw new IOException("the node does not listen");
    }
  }

  /** The address at which the node accepts clients. */
  InetSocketAddress address() {
    return node.address();
  }

  /** Whether the node's process has not ended. */
  boolean isNodeAlive() {
    return node.process().isAlive();
  }

  /** What the node has logged so far. */
  List<String> logLines() throws IOException {
    return node.logLines();
  }

  @Override
  public void close() throws IOException {
    node.close();
    for (BlockingCacheServer server : servers) {
      server.close();
    }
    eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
  }
}
