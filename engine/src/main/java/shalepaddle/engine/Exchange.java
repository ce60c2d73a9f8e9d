package shalepaddle.engine;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;

/**
 * A request that this node has accepted, from its arrival to its final answer and the last outcome
 * of its attempts. Owned by the event loop.
 */
public final class Exchange implements Submission {
  /** The state of the exchange. Each transition has one method of this class. */
  private enum State {
    /** The request is accepted; the policy was not notified of it yet. */
    ACCEPTED,

    /** The request was handed to the policy, which answers or forwards it. */
    ROUTED,

    /** A server's value is being collected for a client that accepts only complete values. */
    COLLECTING,

    /** The final answer was given. */
    ANSWERED,

    /** The client disconnected before the answer. */
    DISCONNECTED
  }

  private final Call call;
  private final Settings.Idempotency idempotency;
  private final int maxAttempts;
  private final boolean allowsParallelAttempts;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private State state = State.ACCEPTED;
  private long clientDeadlineNanos;
  private long deadlineNanos;
  private int rewriteCount;
  private int attemptsInFlight;
  private Call upstreamCall;
  private Outcome.Result lastResult;

  /**
   * Creates an exchange that the policy was not notified of yet.
   *
   * @param deadlineNanos when the request must be answered
   * @param clientDeadlineNanos when the client stops waiting, counted from the earliest time at
   *     which it can have sent the request
   * @param maxAttempts how many times the request may be written to servers
   * @param allowsParallelAttempts whether an attempt may be sent while another may still run
   * @param idempotency the effect of running the request more than once
   */
  Exchange(
      Call call,
      long deadlineNanos,
      long clientDeadlineNanos,
      int maxAttempts,
      boolean allowsParallelAttempts,
      Settings.Idempotency idempotency) {
    this.call = call;
    this.idempotency = idempotency;
    this.clientDeadlineNanos = clientDeadlineNanos;
    this.maxAttempts = maxAttempts;
    this.allowsParallelAttempts = allowsParallelAttempts;
    this.upstreamCall = call;
    this.deadlineNanos = deadlineNanos;
  }

  /** The request and the sink for its answer. */
  public Call call() {
    return call;
  }

  /** The request's id. */
  public String id() {
    return call.request().id();
  }

  /** The effect of running the request more than once, by the settings at its acceptance. */
  Settings.Idempotency idempotency() {
    return idempotency;
  }

  /** Whether an attempt may be sent while another one may still run. */
  boolean allowsParallelAttempts() {
    return allowsParallelAttempts;
  }

  /** When the client stops waiting, by the loop's clock. */
  long clientDeadlineNanos() {
    return clientDeadlineNanos;
  }

  /** When the request must be answered, by the loop's clock. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Sets a later deadline, since another client that shares the answer waits longer. */
  void extendDeadline(long newDeadlineNanos) {
    deadlineNanos = newDeadlineNanos;
    clientDeadlineNanos = Math.max(clientDeadlineNanos, newDeadlineNanos);
  }

  /** Records that the exchange is handed to the policy. */
  void markRouted() {
    state = State.ROUTED;
  }

  /** Records that a server's value is being collected; no further attempt is sent. */
  void markCollecting() {
    state = State.COLLECTING;
  }

  /** Records that the final answer is given. */
  void markAnswered() {
    state = State.ANSWERED;
  }

  /** Records that the client has disconnected. */
  void markDisconnected() {
    state = State.DISCONNECTED;
  }

  /** Whether the exchange was handed to the policy and has not ended. */
  boolean isRouted() {
    return state == State.ROUTED;
  }

  /**
   * Whether no attempt can change the answer any more, or the client has disconnected. Also true
   * before the answer is given, while a value is being collected.
   */
  boolean isEnded() {
    return state != State.ACCEPTED && state != State.ROUTED;
  }

  /** All attempts, by their numbers; changed only by {@link #add}. */
  List<Attempt> attempts() {
    return attempts;
  }

  /** Adds an attempt, which is in flight until {@link #outcomeReported} is called. */
  void add(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  /** Records that the policy was notified of one attempt's outcome. */
  void outcomeReported() {
    attemptsInFlight--;
  }

  /** Whether there are attempts whose outcome was not reported to the policy. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /** Whether an attempt other than the given one has not ended. */
  boolean hasOtherInFlight(Attempt attempt) {
    return attempts.stream().anyMatch(other -> other != attempt && !other.isEnded());
  }

  /** Whether the request may be written to a server again, by the settings at its acceptance. */
  boolean hasAttemptLeft() {
    return attempts.size() + rewriteCount < maxAttempts;
  }

  /** Records that an attempt is written again, on another connection to the same server. */
  void countRewrite() {
    rewriteCount++;
  }

  /** The call whose id and payload attempts carry: that of a client that awaits the answer. */
  Call upstreamCall() {
    return upstreamCall;
  }

  /** Sets the call to forward, also for attempts that already wait for a connection. */
  void forwardAs(Call newCall) {
    upstreamCall = newCall;
    for (Attempt attempt : attempts) {
      attempt.forwardAs(newCall);
    }
  }

  /** The result of the attempt that ended last, null if none has ended. */
  Outcome.Result lastResult() {
    return lastResult;
  }

  /** Records the result of an attempt that has ended. */
  void attemptEnded(Outcome.Result result) {
    lastResult = result;
  }

  /** Whether a server may have executed an attempt, or may still execute one. */
  boolean mayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }
}
