package shalepaddle.upstream;

import java.net.SocketAddress;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/**
 * What the endpoint list says of one cache server: its address, state and start. Owned by the
 * server's pool, on the event loop.
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
   * Takes the latest entry.
   *
   * @param nowSeconds the time by the list's clock
   * @return which of the server's connections lead nowhere from now on
   */
  Obsolete update(SocketAddress newAddress, ServerEntry update, double nowSeconds) {
    boolean hasMoved = !newAddress.equals(address);
    hasChangedCell |= entry != null && !Settings.DeduplicationScope.CELL.spans(entry, update);
    if (update.state() != ServerEntry.State.READY && !isDraining()) {
      drainingSinceNanos = clock.now();
    }
    boolean hasRestarted =
        entry != null
            && update.startedAtSeconds() > 0
            && update.startedAtSeconds() != entry.startedAtSeconds();
    long startedAtNanos = hasRestarted ? startedAtNanos(update, nowSeconds) : 0;
    entry = update;
    address = newAddress;
    updatedAtNanos = clock.now();
    return new Obsolete(hasMoved, hasRestarted, startedAtNanos);
  }

  /**
   * Connections to an earlier address of the server, or to an earlier process.
   *
   * @param startedAtNanos when the present process started, by the loop's clock; 0 where it has not
   *     restarted
   */
  record Obsolete(boolean hasMoved, boolean hasRestarted, long startedAtNanos) {
    /** Whether a connection that was opened at this time, by the loop's clock, is one of them. */
    boolean contains(long openedAtNanos) {
      return hasMoved || (hasRestarted && openedAtNanos - startedAtNanos < 0);
    }
  }

  /**
   * When the server started, by the loop's clock. The list's clock may be off from that, but the
   * start lies between the previous update and now.
   */
  private long startedAtNanos(ServerEntry update, double nowSeconds) {
    long now = clock.refresh();
    double ageSeconds =
        Math.min((now - updatedAtNanos) / 1e9, Math.max(0, nowSeconds - update.startedAtSeconds()));
    return now - (long) (ageSeconds * 1e9);
  }

  /** Whether the list says that the server wants no new requests. */
  boolean isDraining() {
    return entry != null && entry.state() != ServerEntry.State.READY;
  }

  /** Whether it has said so for longer than the grace. */
  boolean isDrainingPast(long graceNanos, long now) {
    return isDraining() && now - drainingSinceNanos > graceNanos;
  }

  /** Whether the server has changed its cell since this was asked last. */
  boolean takeCellChange() {
    boolean changed = hasChangedCell;
    hasChangedCell = false;
    return changed;
  }
}
