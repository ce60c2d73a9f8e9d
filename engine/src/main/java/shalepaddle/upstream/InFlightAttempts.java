package shalepaddle.upstream;

import java.util.ArrayDeque;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.ServerReply;

/**
 * The attempts that were written to one connection and are not answered, oldest first: replies come
 * in the order of the requests. Owned by the connection, on its event loop; all times are by the
 * loop's clock.
 */
final class InFlightAttempts {
  /** See {@link #takeIdlePeriodNanos}. */
  static final long NO_IDLE_PERIOD = -1;

  /** What a reply answers. */
  enum Match {
    /** The oldest attempt. */
    OLDEST,
    /** The request that was answered last: the reply can be ignored. */
    DUPLICATE,
    /** No request: what comes on the connection can't be trusted. */
    NONE
  }

  private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();

  /** Those of them that are not abandoned. */
  private int awaited;

  private long changedAtNanos;
  private long idlePeriodNanos = NO_IDLE_PERIOD;

  /** The request id of the reply that was matched last, null before the first. */
  private String lastReplyId;

  InFlightAttempts(long openedAtNanos) {
    changedAtNanos = openedAtNanos;
  }

  /** An attempt is being written. */
  void add(Attempt attempt, long now) {
    if (attempts.isEmpty()) {
      idlePeriodNanos = now - changedAtNanos;
    }
    attempts.add(attempt);
    awaited++;
    markChanged(now);
  }

  int size() {
    return attempts.size();
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** The attempt that the next reply answers, null if there is none. */
  Attempt oldest() {
    return attempts.peek();
  }

  /** Whether any of them is not abandoned. */
  boolean isAnyAwaited() {
    return awaited != 0;
  }

  /** When the connection was opened, or last got a request or completed a reply. */
  long changedAtNanos() {
    return changedAtNanos;
  }

  void markChanged(long now) {
    changedAtNanos = now;
  }

  /**
   * For how long the connection was idle before the oldest attempt was written; {@link
   * #NO_IDLE_PERIOD} if it was not idle then, or this was called since.
   */
  long takeIdlePeriodNanos() {
    long idleNanos = idlePeriodNanos;
    idlePeriodNanos = NO_IDLE_PERIOD;
    return idleNanos;
  }

  /**
   * Tells what a reply answers.
   *
   * @param isLarge whether its value is still to come
   */
  Match match(ServerReply reply, boolean isLarge) {
    Attempt oldest = attempts.peek();
    if (reply.id() != null
        && reply.id().equals(lastReplyId)
        && (oldest == null || !oldest.hasRequestId(lastReplyId))) {
      return Match.DUPLICATE;
    }
    if (oldest == null || !(isLarge ? oldest.matchesValue(reply) : oldest.matches(reply))) {
      return Match.NONE;
    }
    lastReplyId = oldest.exchange().id();
    return Match.OLDEST;
  }

  /** The result of this one is no longer needed; it stays until its reply has come. */
  void abandon(Attempt attempt) {
    attempt.abandon();
    awaited--;
  }

  /** The reply to the oldest is complete. There must be one. */
  void completeOldest() {
    if (!attempts.poll().isAbandoned()) {
      awaited--;
    }
  }

  /** Takes the oldest off a closed connection, null once there is none. */
  Attempt removeOldest() {
    return attempts.poll();
  }
}
