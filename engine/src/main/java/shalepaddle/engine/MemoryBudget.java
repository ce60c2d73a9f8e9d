package shalepaddle.engine;

/**
 * Bytes of values that the node may hold at once, over all connections together. Owned by the event
 * loop's thread.
 */
public final class MemoryBudget {
  private long freeBytes;

  /** A budget of so many bytes, all of them free. */
  public MemoryBudget(long bytes) {
    this.freeBytes = bytes;
  }

  /** Reserves so many bytes; false, and nothing reserved, if there are not as many left. */
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
