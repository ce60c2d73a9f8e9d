package shalepaddle.engine;

/**
 * Bytes of values that the node may hold at once, over all connections together. Owned by the event
 * loop's thread.
 */
public final class MemoryBudget {
  private long freeBytes;

  /** A budget of this size in bytes, all of them free. */
  public MemoryBudget(long bytes) {
    this.freeBytes = bytes;
  }

  /** Reserves bytes; returns false and reserves none if fewer are left. */
  public boolean reserve(int bytes) {
    if (bytes > freeBytes) {
      return false;
    }
    freeBytes -= bytes;
    return true;
  }

  /** Returns bytes that were reserved. */
  public void release(int bytes) {
    freeBytes += bytes;
  }
}
