package shalepaddle.upstream;

import java.net.SocketAddress;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/**
 * The latest information from the endpoint list about one cache server: its address, state and
 * start time. Owned by the server's pool, on the event loop.
 */
final class ServerEndpoint {
  private final LoopClock clock;
  private SocketAddress address;

  /** The latest entry, null before the first. */
  private ServerEntry entry;

  private long updatedAtNanos;
  private long drainingSinceNanos;
  private boolean hasChangedCell;

  ServerEndpoint(LoopClock clock, SocketAddress address) {
    this.clock = clock;
    this.address = address;
  }

  SocketAddress address() {
    return address;
  }

  /**
   * Applies the latest entry.
   *
   * @param nowSeconds the time by the list's clock
   * @return which of the server's connections are obsolete from now on
   */
  ObsoleteConnections update(SocketAddress newAddress, ServerEntry newEntry, double nowSeconds) {
    boolean hasMoved = !newAddress.equals(address);
    hasChangedCell |= entry != null && !Settings.DeduplicationScope.CELL.spans(entry, newEntry);
    if (newEntry.state() != ServerEntry.State.READY && !isDraining()) {
      drainingSinceNanos = clock.now();
    }
    boolean hasRestarted =
        entry != null
            && newEntry.startedAtSeconds() > 0
            && newEntry.startedAtSeconds() != entry.startedAtSeconds();
    long startedAtNanos = hasRestarted ? startedAtNanos(newEntry, nowSeconds) : 0;
    entry = newEntry;
    address = newAddress;
    updatedAtNanos = clock.now();
    return new ObsoleteConnections(hasMoved, hasRestarted, startedAtNanos);
  }

  /**
   * Describes which connections are obsolete: those to an earlier address or to an earlier process
   * of the server.
   *
   * @param hasMoved whether the address has changed
   * @param hasRestarted whether the server process has restarted
   * @param startedAtNanos when the present process started, by the loop's clock; 0 if it has not
   *     restarted
   */
  record ObsoleteConnections(boolean hasMoved, boolean hasRestarted, long startedAtNanos) {
    /** Whether connections that were opened at this time, by the loop's clock, are obsolete. */
    boolean includesOpenedAt(long openedAtNanos) {
      return hasMoved || (hasRestarted && openedAtNanos - startedAtNanos < 0);
    }
  }

  /**
   * When the server started, by the loop's clock. The list's clock may differ from the loop's, but
   * the start lies between the previous update and now.
   */
  private long startedAtNanos(ServerEntry newEntry, double nowSeconds) {
    long now = clock.refresh();
    double ageSeconds =
        Math.min(
            (now - updatedAtNanos) / 1e9, Math.max(0, nowSeconds - newEntry.startedAtSeconds()));
    return now - (long) (ageSeconds * 1e9);
  }

  /** Whether the server accepts no new requests, by the list. */
  boolean isDraining() {
    return entry != null && entry.state() != ServerEntry.State.READY;
  }

  /** Whether the server has been draining for longer than the grace. */
  boolean isDrainingPast(long graceNanos, long now) {
    return isDraining() && now - drainingSinceNanos > graceNanos;
  }

  /** Whether the server has changed its cell since the last call of this method. */
  boolean takeCellChange() {
    boolean hasChanged = hasChangedCell;
    hasChangedCell = false;
    return hasChanged;
  }
}
