package shalepaddle.node;

import shalepaddle.config.NodeConfig;
import shalepaddle.model.Settings;
import shalepaddle.upstream.ServerPool;

/**
 * Divides the process's file descriptors between clients, cache servers and the process itself, so
 * that the node does not run out of them: without a free descriptor it can neither accept clients
 * nor connect to a server. Immutable.
 *
 * @param maxDescriptors the number of descriptors that the process may open
 * @param reservedDescriptors the number of descriptors reserved for the process's own files, pipes
 *     and selectors, and for admin callers
 */
record DescriptorBudget(int maxDescriptors, int reservedDescriptors) {
  /**
   * The fraction of the descriptors for client connections. By the protocol, clients use a third at
   * most, which is {@link #REQUEST_RATIO}.
   */
  private static final double CLIENT_RATIO = 0.5;

  /** The fraction of the descriptors that requests may use, by the protocol. */
  private static final double REQUEST_RATIO = 1.0 / 3;

  /** Descriptors reserved for the virtual machine's files and pipes, the selector and discovery. */
  private static final int PROCESS_DESCRIPTORS = 32;

  /** Descriptors reserved for callers of the admin server, and for files read meanwhile. */
  private static final int ADMIN_DESCRIPTORS = 8;

  /** The maximum number of connections that all nodes together open to one server. */
  private static final int CONNECTIONS_PER_SERVER_ALL_NODES = 28;

  /**
   * This node's share of the connections that all nodes together open to each server, at least 1.
   */
  static int connectionsPerServer(NodeConfig config) {
    return Math.max(1, CONNECTIONS_PER_SERVER_ALL_NODES / config.settings().instances());
  }

  /** The budget of a node with this configuration. */
  static DescriptorBudget of(NodeConfig config) {
    int adminDescriptors = config.adminAddress() == null ? 0 : ADMIN_DESCRIPTORS;
    return new DescriptorBudget(config.maxDescriptors(), PROCESS_DESCRIPTORS + adminDescriptors);
  }

  /** The maximum number of client connections that all processes of this node open together. */
  int maxClientConnections() {
    return (int) (maxDescriptors * CLIENT_RATIO);
  }

  /** The maximum number of server connections that all processes of this node open together. */
  private int maxServerConnections() {
    return (int) (maxDescriptors * (1 - CLIENT_RATIO)) - reservedDescriptors;
  }

  /**
   * The limits of each server's connection pool.
   *
   * @param connectionsPerServer the maximum number of connections that this node opens to one
   *     server
   */
  ServerPool.Limits serverLimits(Settings.Limits limits, int connectionsPerServer) {
    return new ServerPool.Limits(
        connectionsPerServer,
        maxServerConnections(),
        // Without parallel attempts, an abandoned attempt is cancelled by closing its connection
        // before the next one is sent, so no other attempt may share the connection.
        limits.allowsParallelAttempts() ? Math.max(1, limits.maxAttemptsPerConnection()) : 1,
        (long) (Math.max(1, limits.idleTimeoutSeconds() / 2) * 1e9),
        (long) (Math.max(0.001, limits.connectTimeoutSeconds()) * 1e9));
  }

  /** The ratio of open requests to the request limit; above 1 if the limit is exceeded. */
  double requestRatio(int openRequests) {
    return openRequests / (maxDescriptors * REQUEST_RATIO);
  }

  /** The fraction of all descriptors that is in use with the given connections. */
  double usedRatio(int clientConnections, int serverConnections) {
    double usedDescriptors = reservedDescriptors + clientConnections + serverConnections;
    return usedDescriptors / maxDescriptors;
  }
}
