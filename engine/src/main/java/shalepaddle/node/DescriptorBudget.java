package shalepaddle.node;

import shalepaddle.config.NodeConfig;
import shalepaddle.model.Settings;
import shalepaddle.upstream.ServerPool;

/**
 * How the process's file descriptors are divided between clients, cache servers and its own needs.
 * All figures are numbers of descriptors. Prevents a node without a free descriptor, which can
 * neither accept clients nor reach a server. Immutable.
 *
 * @param limit descriptors that the process may open
 * @param reserved those for its own files, pipes, selectors and admin callers
 */
record DescriptorBudget(int limit, int reserved) {
  /**
   * The part for client connections. The protocol's own clients open a third at most, see {@link
   * #REQUEST_RATIO}.
   */
  private static final double CLIENT_RATIO = 0.5;

  /** The part that requests may take, by the protocol. */
  private static final double REQUEST_RATIO = 1.0 / 3;

  /** For files and pipes of the virtual machine, the selector and discovery. */
  private static final int PROCESS_DESCRIPTORS = 32;

  /** For callers of the admin server, and files that are read meanwhile. */
  private static final int ADMIN_DESCRIPTORS = 8;

  /** Connections to one server that all nodes of this tier open together. */
  private static final int TIER_CONNECTIONS = 28;

  /** How many connections to each server are this node's part of the tier's. */
  static int connectionsPerServer(NodeConfig config) {
    return Math.max(1, TIER_CONNECTIONS / config.settings().instances());
  }

  /** The budget of a node with this configuration. */
  static DescriptorBudget of(NodeConfig config) {
    int admin = config.adminAddress() == null ? 0 : ADMIN_DESCRIPTORS;
    return new DescriptorBudget(config.maxDescriptors(), PROCESS_DESCRIPTORS + admin);
  }

  /** Client connections that all processes of this node may open together. */
  int maxClientConnections() {
    return (int) (limit * CLIENT_RATIO);
  }

  /** Connections to cache servers that all processes of this node may open together. */
  private int maxServerConnections() {
    return (int) (limit * (1 - CLIENT_RATIO)) - reserved;
  }

  /**
   * The limits of each server's connection pool.
   *
   * @param connections the most that this node opens to one server
   */
  ServerPool.Limits serverLimits(Settings.Limits limits, int connections) {
    return new ServerPool.Limits(
        connections,
        maxServerConnections(),
        // Without parallel attempts, an abandoned attempt is cancelled by closing its connection
        // before the next is sent, so no other attempt may share the connection.
        limits.allowsParallelAttempts() ? Math.max(1, limits.maxAttemptsPerConnection()) : 1,
        (long) (Math.max(1, limits.idleTimeoutSeconds() / 2) * 1e9),
        (long) (Math.max(0.001, limits.connectTimeoutSeconds()) * 1e9));
  }

  /** Open requests as a part of the request limit; above 1 past the limit. */
  double requestRatio(int openRequests) {
    return openRequests / (limit * REQUEST_RATIO);
  }

  /** The part of all descriptors that is in use with the given connections. */
  double usedRatio(int clientConnections, int serverConnections) {
    double used = reserved + clientConnections + serverConnections;
    return used / limit;
  }
}
