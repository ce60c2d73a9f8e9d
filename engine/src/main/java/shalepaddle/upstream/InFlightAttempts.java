package shalepaddle.upstream;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.ServerReply;
import shalepaddle.model.Outcome;

/**
 * The unanswered attempts that were written to one connection, oldest first, and the matching of
 * replies to them. Replies are sent in the order of the requests, but any reply may be followed by
 * a second copy of it.
 *
 * <p>A reply with a request id answers the attempt with that id. A reply without one, which reports
 * a rejection or a failure, is known only by its position: the first of its kind on a connection
 * can be trusted while only one attempt is in flight. Any other one may be a copy, or out of order,
 * and its attempt stays unconfirmed until a reply with an id shows that the attempt was answered
 * before.
 *
 * <p>Owned by the connection, on its event loop; all times are by the loop's clock.
 */
final class InFlightAttempts {
  /** See {@link #takeIdlePeriodNanos}. */
  static final long NO_IDLE_PERIOD = -1;

  /** How many answered request ids are remembered, to recognize copies of their replies. */
  private static final int REMEMBERED_REPLIES = 16;

  /** The request that a reply answers. */
  enum Match {
    /** The reply answers the oldest attempt in flight. */
    OLDEST,
    /** The reply may answer the oldest attempt that has no reply yet, or be a copy. */
    UNCONFIRMED,
    /** The reply is a copy of an earlier one. */
    DUPLICATE,
    /** The reply answers no request: further bytes on the connection cannot be trusted. */
    NONE
  }

  /** An attempt whose answer is known now, though its reply carries no request id. */
  record Confirmation(Attempt attempt, Outcome.Result result) {}

  /** An attempt in flight. */
  private static final class Entry {
    private final Attempt attempt;

    /** {@link InFlightAttempts#unconfirmedFailures} when the attempt was written. */
    private final long failuresBefore;

    /** Whether the attempt's result is still needed. */
    private boolean isAwaited = true;

    Entry(Attempt attempt, long failuresBefore) {
      this.attempt = attempt;
      this.failuresBefore = failuresBefore;
    }
  }

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final ArrayDeque<Confirmation> confirmations = new ArrayDeque<>();
  private final ArrayDeque<String> lastReplyIds = new ArrayDeque<>();

  /** The number of entries at the head that may have been answered by a reply without an id. */
  private int unconfirmedEntries;

  /** The number of unconfirmed replies so far that reported a failure. */
  private long unconfirmedFailures;

  /** The results of the replies without an id so far, of which copies may follow at any time. */
  private final Set<Outcome.Result> unidentifiedResults = EnumSet.noneOf(Outcome.Result.class);

  /** The number of entries that are awaited. */
  private int awaitedEntries;

  private long changedAtNanos;
  private long idlePeriodNanos = NO_IDLE_PERIOD;

  InFlightAttempts(long openedAtNanos) {
    changedAtNanos = openedAtNanos;
  }

  /** Adds an attempt that is being written. */
  void add(Attempt attempt, long now) {
    if (size() == 0) {
      idlePeriodNanos = now - changedAtNanos;
    }
    entries.add(new Entry(attempt, unconfirmedFailures));
    awaitedEntries++;
    markChanged(now);
  }

  /** The number of attempts for which no reply was received. */
  int size() {
    return entries.size() - unconfirmedEntries;
  }

  /** The number of attempts that may have been answered by a reply without an id. */
  int unconfirmedCount() {
    return unconfirmedEntries;
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  /** The oldest attempt, null if there is none. */
  Attempt oldestAttempt() {
    return entries.isEmpty() ? null : entries.peek().attempt;
  }

  /** Whether the result of any attempt is still needed. */
  boolean isAnyAwaited() {
    return awaitedEntries != 0;
  }

  /** Whether the result of an unconfirmed attempt is still needed. */
  boolean isAnyUnconfirmedAwaited() {
    int remaining = unconfirmedEntries;
    for (Entry entry : entries) {
      if (remaining-- == 0) {
        return false;
      }
      if (entry.isAwaited) {
        return true;
      }
    }
    return false;
  }

  /** Whether a rejection without a request id was received, of which a copy may follow. */
  boolean isRejectionAmbiguous() {
    return unidentifiedResults.contains(Outcome.Result.SERVER_BUSY);
  }

  private boolean isAmbiguous(Outcome.Result unidentifiedResult) {
    return unconfirmedEntries > 0 || unidentifiedResults.contains(unidentifiedResult);
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
   * Returns which request a reply answers. If it answers an attempt behind unconfirmed ones, those
   * are removed first, and returned by {@link #pollConfirmation}.
   *
   * @param isLarge whether the value follows the reply as a stream
   */
  Match match(ServerReply reply, boolean isLarge) {
    return reply.id() == null ? matchByPosition(reply) : matchById(reply, isLarge);
  }

  /** Returns the next attempt that was confirmed by the last match, null if there is none. */
  Confirmation pollConfirmation() {
    return confirmations.poll();
  }

  private Match matchByPosition(ServerReply reply) {
    Entry entry = entryAt(unconfirmedEntries);
    boolean isAmbiguous = size() > 1 || isAmbiguous(reply.result());
    if (entry == null ? !isAmbiguous : !isFullyWritten(entry.attempt)) {
      return Match.NONE;
    }
    unidentifiedResults.add(reply.result());
    if (!isAmbiguous) {
      return Match.OLDEST;
    }
    if (reply.result() != Outcome.Result.SERVER_BUSY) {
      unconfirmedFailures++;
    }
    if (entry == null) {
      return Match.DUPLICATE;
    }
    unconfirmedEntries++;
    return Match.UNCONFIRMED;
  }

  /** Whether the server can have answered the attempt: it starts once it has the last byte. */
  private static boolean isFullyWritten(Attempt attempt) {
    return attempt.isWritten() || attempt.isEnded();
  }

  /**
   * Matches the last attempt with the id that all others before it allow. An earlier attempt of the
   * same request can only have ended by an unconfirmed reply.
   */
  private Match matchById(ServerReply reply, boolean isLarge) {
    int firstPosition = -1;
    int matchedPosition = -1;
    int position = 0;
    for (Entry entry : entries) {
      if (position > unconfirmedEntries) {
        break;
      }
      if (entry.attempt.hasRequestId(reply.id())) {
        boolean isAnswer =
            isLarge ? entry.attempt.matchesValue(reply) : entry.attempt.matches(reply);
        if (!isAnswer || !isFullyWritten(entry.attempt)) {
          return Match.NONE;
        }
        firstPosition = firstPosition < 0 ? position : firstPosition;
        matchedPosition = position;
      }
      position++;
    }
    if (matchedPosition < 0) {
      return lastReplyIds.contains(reply.id()) ? Match.DUPLICATE : Match.NONE;
    }
    confirmBefore(matchedPosition, firstPosition);
    rememberReply(reply.id());
    return Match.OLDEST;
  }

  /**
   * Removes the entries before the one that was just answered. Those before the first attempt of
   * the same request were answered before, by one of the replies without an id that were received
   * since they were written: if all of these are rejections, they were rejected.
   */
  private void confirmBefore(int matchedPosition, int firstPosition) {
    for (int i = 0; i < matchedPosition; i++) {
      Entry entry = entries.peek();
      boolean isRejected = i < firstPosition && entry.failuresBefore == unconfirmedFailures;
      confirmations.add(
          new Confirmation(
              entry.attempt, isRejected ? Outcome.Result.SERVER_BUSY : Outcome.Result.ERROR));
      completeOldest();
    }
    // Replies to the entries behind come later, so what was taken for them was a copy.
    unconfirmedEntries = 0;
  }

  /** The entry at a position from the oldest, null if there are fewer. */
  private Entry entryAt(int position) {
    Iterator<Entry> iterator = entries.iterator();
    for (int i = 0; i < position && iterator.hasNext(); i++) {
      iterator.next();
    }
    return iterator.hasNext() ? iterator.next() : null;
  }

  private void rememberReply(String requestId) {
    if (lastReplyIds.size() == REMEMBERED_REPLIES) {
      lastReplyIds.poll();
    }
    lastReplyIds.add(requestId);
  }

  /** The attempt that the last unconfirmed reply may answer. */
  Attempt lastUnconfirmed() {
    return entryAt(unconfirmedEntries - 1).attempt;
  }

  /** Records that the result of an attempt is no longer needed; it stays until it is answered. */
  void stopAwaiting(Attempt attempt) {
    for (Entry entry : entries) {
      if (entry.attempt == attempt && entry.isAwaited) {
        entry.isAwaited = false;
        awaitedEntries--;
      }
    }
  }

  /** Removes the oldest attempt after its reply is complete. There must be one. */
  void completeOldest() {
    if (entries.poll().isAwaited) {
      awaitedEntries--;
    }
    if (unconfirmedEntries > 0) {
      unconfirmedEntries--;
    }
  }

  /** Removes and returns the attempts of a closed connection, oldest first. */
  List<Attempt> removeAll() {
    List<Attempt> attempts = new ArrayList<>(entries.size());
    entries.forEach(entry -> attempts.add(entry.attempt));
    entries.clear();
    unconfirmedEntries = 0;
    return attempts;
  }
}
