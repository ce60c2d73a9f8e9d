package shalepaddle.upstream;

import java.util.ArrayDeque;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.ServerReply;

/**
 * The unanswered attempts that were written to one connection, oldest first, since replies are sent
 * in the order of the requests. Owned by the connection, on its event loop; all times are by the
 * loop's clock.
 */
final class InFlightAttempts {
  /** See {@link #takeIdlePeriodNanos}. */
  static final long NO_IDLE_PERIOD = -1;

  /** The request that a reply answers. */
  enum Match {
    /** The reply answers the oldest attempt in flight. */
    OLDEST,
    /** The reply answers the request that was answered last, and can be ignored. */
    DUPLICATE,
    /** The reply answers no request: further bytes on the connection cannot be trusted. */
    NONE
  }

  private final ArrayDeque<Attempt> attempts = new ArrayDeque<>();

  /** The number of attempts that are not abandoned. */
  private int awaitedAttempts;

  private long changedAtNanos;
  private long idlePeriodNanos = NO_IDLE_PERIOD;

  /** The request id of the reply that was matched last, null before the first. */
  private String lastReplyId;

  InFlightAttempts(long openedAtNanos) {
    changedAtNanos = openedAtNanos;
  }

  /** Adds an attempt that is being written. */
  void add(Attempt attempt, long now) {
    if (attempts.isEmpty()) {
      idlePeriodNanos = now - changedAtNanos;
    }
    attempts.add(attempt);
    awaitedAttempts++;
    markChanged(now);
  }

  int size() {
    return attempts.size();
  }

  boolean isEmpty() {
    return attempts.isEmpty();
  }

  /** The attempt that the next reply should answer, null if there is none. */
  Attempt oldestAttempt() {
    return attempts.peek();
  }

  /** Whether any attempt is not abandoned. */
  boolean isAnyAwaited() {
    return awaitedAttempts != 0;
  }

  /** When the connection was opened, last wrote a request or last completed a reply. */
  long changedAtNanos() {
    return changedAtNanos;
  }

  void markChanged(long now) {
    changedAtNanos = now;
  }

  /**
   * How long the connection was idle before the oldest attempt was written; {@link #NO_IDLE_PERIOD}
   * if the connection was not idle then, or if this method was called after that write.
   */
  long takeIdlePeriodNanos() {
    long idleNanos = idlePeriodNanos;
    idlePeriodNanos = NO_IDLE_PERIOD;
    return idleNanos;
  }

  /**
   * Returns which request a reply answers.
   *
   * @param isLarge whether the value follows the reply as a stream
   */
  Match match(ServerReply reply, boolean isLarge) {
    Attempt oldestAttempt = attempts.peek();
    if (reply.id() != null
        && reply.id().equals(lastReplyId)
        && (oldestAttempt == null || !oldestAttempt.hasRequestId(lastReplyId))) {
      return Match.DUPLICATE;
    }
    if (oldestAttempt == null
        || !(isLarge ? oldestAttempt.matchesValue(reply) : oldestAttempt.matches(reply))) {
      return Match.NONE;
    }
    lastReplyId = oldestAttempt.exchange().id();
    return Match.OLDEST;
  }

  /** Marks an attempt whose result is no longer needed; it remains until its reply is received. */
  void abandon(Attempt attempt) {
    attempt.abandon();
    awaitedAttempts--;
  }

  /** Removes the oldest attempt after its reply is complete. There must be one. */
  void completeOldest() {
    if (!attempts.poll().isAbandoned()) {
      awaitedAttempts--;
    }
  }

  /** Removes and returns the oldest attempt of a closed connection, null if there is none. */
  Attempt removeOldest() {
    return attempts.poll();
  }
}
