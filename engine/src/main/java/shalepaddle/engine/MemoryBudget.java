package shalepaddle.engine;

import java.util.ArrayDeque;

/**
 * Limits the bytes that the node buffers at a time for all connections together. A budget may be a
 * part of another one: its bytes then count in both, so that no kind of bytes uses up the memory of
 * all. Owned by the event loop's thread.
 */
public final class MemoryBudget {
  /** The budget that this one is a part of; null if it is none. */
  private final MemoryBudget whole;

  /** The fraction of a budget that is left when it counts as short. */
  private static final double SHORT_RATIO = 0.25;

  /**
   * The fraction of a budget that may be reserved beyond it, for bytes that leave soon. Heads and
   * short lines, which cannot be refused, come on top.
   */
  private static final double MAX_OVERDRAFT_RATIO = 0.1;

  private final long totalBytes;

  /** Reservations that wait for free bytes, oldest first; used in a whole budget only. */
  private final ArrayDeque<PendingReservation> pendingReservations = new ArrayDeque<>();

  private long freeBytes;
  private boolean isGranting;

  /** Creates a budget of this size in bytes, all of it free. */
  public MemoryBudget(long bytes) {
    this(null, bytes);
  }

  private MemoryBudget(MemoryBudget whole, long bytes) {
    this.whole = whole;
    this.totalBytes = bytes;
    this.freeBytes = bytes;
  }

  /** Creates a part of this budget, in which at most {@code bytes} of it can be reserved. */
  public MemoryBudget newPart(long bytes) {
    return new MemoryBudget(this, Math.min(bytes, totalBytes));
  }

  /** The size in bytes. */
  public long totalBytes() {
    return totalBytes;
  }

  /** A reservation that waits until its bytes are free. */
  public static final class PendingReservation {
    private final MemoryBudget budget;
    private final int bytes;
    private final Runnable onGranted;
    private boolean isWithdrawn;

    private PendingReservation(MemoryBudget budget, int bytes, Runnable onGranted) {
      this.budget = budget;
      this.bytes = bytes;
      this.onGranted = onGranted;
    }

    /** Stops waiting. No effect once the bytes are reserved. */
    public void withdraw() {
      isWithdrawn = true;
    }
  }

  /** Reserves bytes. If fewer are left, reserves none and returns false. */
  public boolean reserve(int bytes) {
    if (bytes > freeBytes || (whole != null && !whole.reserve(bytes))) {
      return false;
    }
    freeBytes -= bytes;
    return true;
  }

  /** The bytes that are reserved. */
  public long reservedBytes() {
    return totalBytes - freeBytes;
  }

  /** Reserves bytes that are in memory already, even if fewer are left. */
  public void reserveBeyond(int bytes) {
    freeBytes -= bytes;
    if (whole != null) {
      whole.reserveBeyond(bytes);
    }
  }

  /** Whether so few bytes are left that nothing should be begun that needs more. */
  public boolean isShort() {
    return freeBytes < SHORT_RATIO * totalBytes || (whole != null && whole.isShort());
  }

  /**
   * Whether far more bytes are reserved than there are, so that not even bytes may be added that
   * are likely to leave at once.
   */
  public boolean isOverdrawn() {
    return !mayOverdraw(0);
  }

  /**
   * Reserves bytes that leave soon, even if fewer are left. If that would overdraw the budget too
   * far, reserves none and returns false.
   */
  public boolean reserveBriefly(int bytes) {
    if (!mayOverdraw(bytes)) {
      return false;
    }
    reserveBeyond(bytes);
    return true;
  }

  private boolean mayOverdraw(int bytes) {
    return freeBytes - bytes >= -MAX_OVERDRAFT_RATIO * totalBytes
        && (whole == null || whole.mayOverdraw(bytes));
  }

  /** Releases bytes that were reserved. */
  public void release(int bytes) {
    freeBytes += bytes;
    if (whole != null) {
      whole.release(bytes);
    } else {
      grantPending();
    }
  }

  /**
   * Reserves bytes as soon as they are free, after the reservations that wait already. The task
   * runs once they are reserved, within the call that released memory: it must not use buffers.
   */
  public PendingReservation reserveWhenFree(int bytes, Runnable onGranted) {
    PendingReservation reservation = new PendingReservation(this, bytes, onGranted);
    root().pendingReservations.add(reservation);
    return reservation;
  }

  private MemoryBudget root() {
    return whole == null ? this : whole.root();
  }

  private void grantPending() {
    if (isGranting) {
      return;
    }
    isGranting = true;
    try {
      for (PendingReservation next = pendingReservations.peek();
          next != null && (next.isWithdrawn || next.budget.reserve(next.bytes));
          next = pendingReservations.peek()) {
        pendingReservations.remove();
        if (!next.isWithdrawn) {
          next.onGranted.run();
        }
      }
    } finally {
      isGranting = false;
    }
  }
}
