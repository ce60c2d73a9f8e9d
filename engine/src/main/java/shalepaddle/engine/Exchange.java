package shalepaddle.engine;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;

/**
 * A request that this node has accepted, from its last byte to its final answer and the last
 * outcome of its attempts. Owned by the event loop.
 */
public final class Exchange implements Submission {
  /** How far it has come. Each change is made by one method of this class. */
  private enum State {
    /** Accepted; the policy does not know of it yet. */
    ACCEPTED,

    /** Handed to the policy, which answers it or forwards it. */
    ROUTED,

    /** A server's value is being collected for a client that accepts complete values only. */
    COLLECTING,

    /** Its final answer is given. */
    ANSWERED,

    /** Its client has left before the answer. */
    DISCONNECTED
  }

  private final Call call;
  private final Settings.Idempotency idempotency;
  private final int maxAttempts;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private State state = State.ACCEPTED;
  private long clientDeadlineNanos;
  private long deadlineNanos;
  private int rewrites;
  private int attemptsInFlight;
  private Call upstreamCall;
  private Outcome.Result lastResult;

  /**
   * An exchange that the policy does not know of yet.
   *
   * @param deadlineNanos by when it must be answered
   * @param clientDeadlineNanos when its client stops waiting, counted from the earliest time at
   *     which it can have sent the request
   * @param maxAttempts how often it may be written to servers
   * @param idempotency what running it more than once does
   */
  Exchange(
      Call call,
      long deadlineNanos,
      long clientDeadlineNanos,
      int maxAttempts,
      Settings.Idempotency idempotency) {
    this.call = call;
    this.idempotency = idempotency;
    this.clientDeadlineNanos = clientDeadlineNanos;
    this.maxAttempts = maxAttempts;
    this.upstreamCall = call;
    this.deadlineNanos = deadlineNanos;
  }

  /** What the client asked for and where its answer goes. */
  public Call call() {
    return call;
  }

  /** The request's id. */
  public String id() {
    return call.request().id();
  }

  /** What running it more than once does, by the settings under which it was accepted. */
  Settings.Idempotency idempotency() {
    return idempotency;
  }

  /** When its client stops waiting, by the loop's clock. */
  long clientDeadlineNanos() {
    return clientDeadlineNanos;
  }

  /** By when it must be answered, by the loop's clock. */
  long deadlineNanos() {
    return deadlineNanos;
  }

  /** Sets a later deadline, since another client that shares the answer waits for longer. */
  void extendDeadline(long nanos) {
    deadlineNanos = nanos;
    clientDeadlineNanos = Math.max(clientDeadlineNanos, nanos);
  }

  /** The policy is notified of it now. */
  void route() {
    state = State.ROUTED;
  }

  /** A server's value is collected from now on: it is not attempted any more. */
  void collect() {
    state = State.COLLECTING;
  }

  /** Its final answer is given now. */
  void answer() {
    state = State.ANSWERED;
  }

  /** Its client has left. */
  void disconnect() {
    state = State.DISCONNECTED;
  }

  /** Whether the policy was notified of it and it has not ended. */
  boolean isRouted() {
    return state == State.ROUTED;
  }

  /**
   * Whether no attempt can change its answer any more, or its client has left. Also true before the
   * answer is given, while a value is being collected.
   */
  boolean isEnded() {
    return state != State.ACCEPTED && state != State.ROUTED;
  }

  /** All its attempts, by their numbers; changed by {@link #add} alone. */
  List<Attempt> attempts() {
    return attempts;
  }

  /** Adds an attempt, which is in flight until {@link #outcomeReported}. */
  void add(Attempt attempt) {
    attempts.add(attempt);
    attemptsInFlight++;
  }

  /** The policy was notified of one attempt's outcome. */
  void outcomeReported() {
    attemptsInFlight--;
  }

  /** Whether there are attempts of whose outcome the policy was not notified. */
  boolean hasAttemptsInFlight() {
    return attemptsInFlight > 0;
  }

  /** Whether it may be written to a server once more, by the settings when it was accepted. */
  boolean hasAttemptLeft() {
    return attempts.size() + rewrites < maxAttempts;
  }

  /** An attempt is written once more, on another connection to the same server. */
  void countRewrite() {
    rewrites++;
  }

  /** The call as which attempts are forwarded: of a client that still waits for the answer. */
  Call upstreamCall() {
    return upstreamCall;
  }

  /** From now on attempts are forwarded as this call; also those that wait for a connection. */
  void forwardAs(Call other) {
    upstreamCall = other;
    for (Attempt attempt : attempts) {
      attempt.forwardAs(other);
    }
  }

  /** How the attempt ended that ended last, null if none has. */
  Outcome.Result lastResult() {
    return lastResult;
  }

  /** One of its attempts has ended like this. */
  void attemptEnded(Outcome.Result result) {
    lastResult = result;
  }

  /** Whether an attempt may have been carried out, or may yet be. */
  boolean mayHaveRun() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveRun()) {
        return true;
      }
    }
    return false;
  }
}
