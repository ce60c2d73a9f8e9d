package shalepaddle.engine;

/**
 * Limits the bytes that the node buffers at a time for all connections together. Owned by the event
 * loop's thread.
 */
public final class MemoryBudget {
  private long freeBytes;

  /** Creates a budget of this size in bytes, all of it free. */
  public MemoryBudget(long bytes) {
    this.freeBytes = bytes;
  }

  /** Reserves bytes. If fewer are left, reserves none and returns false. */
  public boolean reserve(int bytes) {
    if (bytes > freeBytes) {
      return false;
    }
    freeBytes -= bytes;
    return true;
  }

  /** Releases bytes that were reserved. */
  public void release(int bytes) {
    freeBytes += bytes;
  }
}
