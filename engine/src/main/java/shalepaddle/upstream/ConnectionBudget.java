package shalepaddle.upstream;

/** Connections to cache servers that the node may hold at once, over all servers together. */
final class ConnectionBudget {
  private final int total;
  private int taken;

  /** What other processes of this node hold of the total, and how many those are. */
  private int elsewhere;

  private int partners;

  ConnectionBudget(int connections) {
    this.total = connections;
  }

  /** Whether there is room for more than a server's first connection. */
  boolean hasRoom() {
    return taken + elsewhere < total;
  }

  int taken() {
    return taken;
  }

  void setPeerProcessUsage(int partners, int connections) {
    this.partners = partners;
    elsewhere = connections;
  }

  /**
   * This process's even part of so many connections to one server, one at least: to the server all
   * processes of the node are one.
   */
  int part(int connections) {
    return Math.max(1, connections / (1 + partners));
  }

  /** One more is open, or on its way. */
  void take() {
    taken++;
  }

  void release() {
    taken--;
  }
}
