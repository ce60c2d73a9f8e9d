package shalepaddle.upstream;

/**
 * How many connections to cache servers the node may have at once, over all servers and all of its
 * processes. Owned by the event loop.
 */
final class ConnectionBudget {
  private final int maxConnections;
  private int taken;

  /** Connections of other processes of this node, and how many such processes there are. */
  private int takenByPeers;

  private int peerProcesses;

  ConnectionBudget(int maxConnections) {
    this.maxConnections = maxConnections;
  }

  /** Whether a server may have more than its first connection, which is always allowed. */
  boolean hasCapacity() {
    return taken + takenByPeers < maxConnections;
  }

  /** Connections of this process that are open or being opened. */
  int taken() {
    return taken;
  }

  /** Sets how many connections this node's other processes have together. */
  void setPeerProcessUsage(int processes, int connections) {
    peerProcesses = processes;
    takenByPeers = connections;
  }

  /**
   * This process's even share of the node's connections to one server, at least one: the server
   * counts those of all processes of the node together.
   */
  int share(int connections) {
    return Math.max(1, connections / (1 + peerProcesses));
  }

  /** A connection is being opened; {@link #release} is due once it is closed or has failed. */
  void take() {
    taken++;
  }

  /** A connection was closed or not established; once for each {@link #take}. */
  void release() {
    taken--;
  }
}
