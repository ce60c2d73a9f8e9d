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
 * a second copy of it, and a reply may bear the id of another request.
 *
 * <p>A reply is matched at once where it can answer only the oldest attempt. Otherwise it is held,
 * and the attempts in flight are in doubt: no more is known of them until {@link #resolve}, which
 * the connection calls once it is known that all of them were answered.
 *
 * <p>Owned by the connection, on its event loop; all times are by the loop's clock.
 */
final class InFlightAttempts {
  /** See {@link #takeIdlePeriodNanos}. */
  static final long NO_IDLE_PERIOD = -1;

  /** How many answered request ids are remembered, to recognize copies of their replies. */
  private static final int REMEMBERED_REPLIES = 16;

  /** Bounds the replies that are held. */
  private static final int MAX_HELD_REPLIES = 64;

  /** The request that a reply answers. */
  enum Match {
    /** The reply answers the oldest attempt in flight. */
    OLDEST,
    /** The reply is held: it may answer an attempt in flight, or be a copy. */
    HELD,
    /** The reply is a copy of an earlier one. */
    DUPLICATE,
    /** The reply answers no request: further bytes on the connection cannot be trusted. */
    NONE
  }

  /**
   * What is known of an attempt that was in doubt.
   *
   * @param reply the reply that answers the attempt, null if it is not known
   * @param result the result of the attempt
   */
  record Resolution(Attempt attempt, ServerReply reply, Outcome.Result result) {}

  /** An attempt in flight. */
  private static final class Entry {
    private final Attempt attempt;

    /** Whether the attempt's result is still needed. */
    private boolean isAwaited = true;

    Entry(Attempt attempt) {
      this.attempt = attempt;
    }
  }

  /**
   * A reply that was received while attempts were in doubt.
   *
   * @param canBeCopy whether an equal reply was received before on the connection
   * @param isUsable whether the reply, with its value, can be passed on
   */
  private record HeldReply(ServerReply reply, boolean canBeCopy, boolean isUsable) {
    boolean isRejection() {
      return reply.result() == Outcome.Result.SERVER_BUSY;
    }
  }

  private final ArrayDeque<Entry> entries = new ArrayDeque<>();
  private final ArrayDeque<String> lastReplyIds = new ArrayDeque<>();
  private final List<HeldReply> heldReplies = new ArrayList<>();

  /** The number of entries at the head that are in doubt. */
  private int entriesInDoubt;

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
    entries.add(new Entry(attempt));
    awaitedEntries++;
    markChanged(now);
  }

  /** The number of attempts for which no reply was received. */
  int size() {
    return entries.size() - Math.min(entriesInDoubt, heldReplies.size());
  }

  /** Whether replies are held, and attempts are in doubt. */
  boolean isInDoubt() {
    return entriesInDoubt > 0;
  }

  /** The number of attempts in doubt. */
  int inDoubtCount() {
    return entriesInDoubt;
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

  /** Whether the result of an attempt in doubt is still needed. */
  boolean isAnyInDoubtAwaited() {
    int remaining = entriesInDoubt;
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
   * @param isLarge whether the value follows the reply as a stream, which cannot be held
   */
  Match match(ServerReply reply, boolean isLarge) {
    if (isInDoubt()) {
      return matchInDoubt(reply, isLarge);
    }
    if (reply.id() == null) {
      return matchByPosition(reply);
    }
    if (!entries.isEmpty() && entries.peek().attempt.hasRequestId(reply.id())) {
      return matchOldest(reply, isLarge);
    }
    if (!lastReplyIds.contains(reply.id())) {
      return Match.NONE;
    }
    if (!entries.isEmpty()) {
      // Either a copy, or the answer to the oldest attempt with a wrong id.
      entriesInDoubt = entries.size();
      hold(reply, isLarge);
    }
    return Match.DUPLICATE;
  }

  private Match matchByPosition(ServerReply reply) {
    boolean canBeCopy = unidentifiedResults.contains(reply.result());
    if (entries.isEmpty()) {
      return canBeCopy ? Match.DUPLICATE : Match.NONE;
    }
    if (!isFullyWritten(entries.peek().attempt)) {
      return Match.NONE;
    }
    // With several in flight, a rejection is no proof if the server sends replies out of order.
    boolean needsProof = entries.size() > 1 && reply.result() == Outcome.Result.SERVER_BUSY;
    if (!canBeCopy && !needsProof) {
      unidentifiedResults.add(reply.result());
      return Match.OLDEST;
    }
    entriesInDoubt = entries.size();
    hold(reply, false);
    return Match.HELD;
  }

  /** Whether the server can have answered the attempt: it starts once it has the last byte. */
  private static boolean isFullyWritten(Attempt attempt) {
    return attempt.isWritten() || attempt.isEnded();
  }

  private Match matchOldest(ServerReply reply, boolean isLarge) {
    if (!isAnswer(entries.peek(), reply, isLarge)) {
      return Match.NONE;
    }
    rememberReply(reply.id());
    return Match.OLDEST;
  }

  private static boolean isAnswer(Entry entry, ServerReply reply, boolean isLarge) {
    boolean isOfKind = isLarge ? entry.attempt.matchesValue(reply) : entry.attempt.matches(reply);
    return isOfKind && isFullyWritten(entry.attempt);
  }

  private Match matchInDoubt(ServerReply reply, boolean isLarge) {
    if (heldReplies.size() == MAX_HELD_REPLIES) {
      return Match.NONE;
    }
    if (reply.id() == null) {
      return holdUnidentified(reply);
    }
    if (entriesInDoubt == 1 && entries.peek().attempt.hasRequestId(reply.id())) {
      // No other request that the server may have answered can have been given this id.
      Match match = matchOldest(reply, isLarge);
      if (match == Match.OLDEST) {
        endDoubt();
      }
      return match;
    }
    Entry namedEntry = entryInDoubt(reply.id());
    boolean isExpected =
        namedEntry == null
            ? lastReplyIds.contains(reply.id())
            : isAnswer(namedEntry, reply, isLarge);
    if (!isExpected) {
      return Match.NONE;
    }
    hold(reply, isLarge);
    return namedEntry == null ? Match.DUPLICATE : Match.HELD;
  }

  private Match holdUnidentified(ServerReply reply) {
    int position = heldReplies.size();
    if (position >= entriesInDoubt) {
      hold(reply, false);
      return Match.DUPLICATE;
    }
    if (!isFullyWritten(entryAt(position).attempt)) {
      return Match.NONE;
    }
    hold(reply, false);
    return Match.HELD;
  }

  /** Holds a reply. A value is retained only if it may be passed on. */
  private void hold(ServerReply reply, boolean isLarge) {
    if (reply.id() == null) {
      heldReplies.add(new HeldReply(reply, !unidentifiedResults.add(reply.result()), false));
      return;
    }
    boolean canBeCopy = lastReplyIds.contains(reply.id());
    boolean isUsable = !canBeCopy && !isLarge;
    if (isUsable && reply.value() != null) {
      reply.value().retain();
    }
    rememberReply(reply.id());
    heldReplies.add(new HeldReply(reply, canBeCopy, isUsable));
  }

  /** The entry in doubt with a request id, null if there is none. */
  private Entry entryInDoubt(String requestId) {
    int remaining = entriesInDoubt;
    for (Entry entry : entries) {
      if (remaining-- == 0) {
        break;
      }
      if (entry.attempt.hasRequestId(requestId)) {
        return entry;
      }
    }
    return null;
  }

  /** The entry at a position from the oldest. There must be one. */
  private Entry entryAt(int position) {
    Iterator<Entry> iterator = entries.iterator();
    for (int i = 0; i < position; i++) {
      iterator.next();
    }
    return iterator.next();
  }

  private void rememberReply(String requestId) {
    if (lastReplyIds.size() == REMEMBERED_REPLIES) {
      lastReplyIds.poll();
    }
    lastReplyIds.add(requestId);
  }

  /** The attempt that the last reply with the result {@link Match#HELD} may answer. */
  Attempt attemptOfLastHeld() {
    return entryAt(heldReplies.size() - 1).attempt;
  }

  /**
   * Ends the doubt, once all attempts in doubt are known to have been answered, and removes them.
   * The caller owns the values of the returned replies.
   *
   * @return the attempts, oldest first; null if the replies cannot have answered all of them
   */
  List<Resolution> resolve() {
    boolean[] canBeCopy = new boolean[heldReplies.size()];
    for (int i = 0; i < canBeCopy.length; i++) {
      canBeCopy[i] = heldReplies.get(i).canBeCopy();
    }
    ReplyAssignment assignment = new ReplyAssignment(entriesInDoubt, canBeCopy);
    if (!assignment.isPossible()) {
      return null;
    }
    List<Resolution> resolutions = new ArrayList<>(entriesInDoubt);
    for (int position = 0; position < entriesInDoubt; position++) {
      resolutions.add(resolve(entries.peek().attempt, position, assignment));
      completeOldest();
    }
    endDoubt();
    return resolutions;
  }

  private Resolution resolve(Attempt attempt, int position, ReplyAssignment assignment) {
    HeldReply answer = null;
    int possibleAnswers = 0;
    // A server that sends replies out of order may have run an attempt whose id it has named.
    boolean isRejected = !isNamedByHeldReply(attempt);
    boolean isUnidentified = true;
    for (int i = 0; i < heldReplies.size(); i++) {
      if (assignment.canAnswer(i, position)) {
        answer = heldReplies.get(i);
        possibleAnswers++;
        isRejected &= answer.isRejection();
        isUnidentified &= answer.reply().id() == null;
      }
    }
    if (isRejected) {
      return new Resolution(attempt, null, Outcome.Result.SERVER_BUSY);
    }
    if (isUnidentified) {
      return new Resolution(attempt, null, Outcome.Result.ERROR);
    }
    if (possibleAnswers == 1 && answer.isUsable() && attempt.hasRequestId(answer.reply().id())) {
      if (answer.reply().value() != null) {
        answer.reply().value().retain();
      }
      return new Resolution(attempt, answer.reply(), answer.reply().result());
    }
    return new Resolution(attempt, null, Outcome.Result.MALFORMED_RESPONSE);
  }

  private boolean isNamedByHeldReply(Attempt attempt) {
    for (HeldReply held : heldReplies) {
      if (held.reply().id() != null && attempt.hasRequestId(held.reply().id())) {
        return true;
      }
    }
    return false;
  }

  private void endDoubt() {
    entriesInDoubt = 0;
    for (HeldReply held : heldReplies) {
      if (held.isUsable() && held.reply().value() != null) {
        held.reply().value().release();
      }
    }
    heldReplies.clear();
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
  }

  /** Removes and returns the attempts of a closed connection, oldest first. */
  List<Attempt> removeAll() {
    List<Attempt> attempts = new ArrayList<>(entries.size());
    entries.forEach(entry -> attempts.add(entry.attempt));
    entries.clear();
    endDoubt();
    return attempts;
  }
}
