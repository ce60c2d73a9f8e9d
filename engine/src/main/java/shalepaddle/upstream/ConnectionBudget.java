package shalepaddle.upstream;

/** Connections to cache servers that the node may hold at once, over all servers together. */
final class ConnectionBudget {
  private final int total;
  private int taken;

  /** What another process of this node holds of the total. */
  private int elsewhere;

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

  void elsewhere(int connections) {
    elsewhere = connections;
  }

  /** One more is open, or on its way. */
  void take() {
    taken++;
  }

  void release() {
    taken--;
  }
}
