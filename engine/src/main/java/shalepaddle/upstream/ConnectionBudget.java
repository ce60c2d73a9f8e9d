package shalepaddle.upstream;

/**
 * Limits the connections to cache servers, over all servers and all processes of the node. Owned by
 * the event loop.
 */
final class ConnectionBudget {
  private final int maxConnections;
  private int openConnections;

  /** The number of connections of the other processes of this node. */
  private int peerConnections;

  /** The number of other processes of this node. */
  private int peerProcesses;

  ConnectionBudget(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Whether a further connection to a server is allowed; the first to each server always is. */
  boolean hasCapacity() {
    return openConnections + peerConnections < maxConnections;
  }

  /** The number of connections of this process that are open or being opened. */
  int openConnections() {
    return openConnections;
  }

  /** Sets the number of other processes of this node and the number of their connections. */
  void setPeerProcessUsage(int processes, int connections) {
    peerProcesses = processes;
    peerConnections = connections;
  }

  /**
   * This process's equal share of the node's connections to one server, at least one. The server's
   * limit applies to all processes of the node together.
   */
  int share(int connections) {
    return Math.max(1, connections / (1 + peerProcesses));
  }

  /** Counts a connection that is being opened; {@link #release} must follow after its end. */
  void acquire() {
    openConnections++;
  }

  /** Releases a connection that was closed or failed to open; once for each {@link #acquire}. */
  void release() {
    openConnections--;
  }
}
