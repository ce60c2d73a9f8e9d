package shalepaddle.sockets;

import io.netty.channel.Channel;
import java.util.concurrent.CompletableFuture;

/**
 * Tells how many bytes that were written to a TCP connection its peer has not acknowledged. The
 * kernel accepts bytes from a process in steps of up to a third of its buffer, so a peer that reads
 * a few bytes at a time can be told from one that has stopped only by its send queue.
 *
 * <p>A lookup takes as long as the kernel needs, so its result comes later, and callers must have
 * an answer for the time until then.
 */
@FunctionalInterface
public interface SendQueues {
  /** The unacknowledged bytes of a connection for which nothing is known. */
  long UNKNOWN = -1;

  /** Knows nothing of any connection. */
  SendQueues NONE = channel -> CompletableFuture.completedFuture(new Reading(UNKNOWN, 0));

  /**
   * The send queue of a connection.
   *
   * @param unacknowledgedBytes the bytes that the peer had not acknowledged, or {@link #UNKNOWN}
   * @param readAtNanos a time by the system ticker; the figure is not older
   */
  record Reading(long unacknowledgedBytes, long readAtNanos) {}

  /**
   * Looks up a connection's send queue as it is after this call. Returns at once; the future may be
   * completed on another thread, and never fails.
   */
  CompletableFuture<Reading> read(Channel channel);
}
