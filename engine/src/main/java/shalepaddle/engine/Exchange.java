package shalepaddle.engine;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;

/** A request that this node has taken, from its last byte to its final answer and last outcome. */
public final class Exchange implements Submission {
  public final Call call;

  /** What running it more than once does, by the settings under which it was taken. */
  final Settings.Idempotency effect;

  /** When its client stops waiting, counted from the earliest time at which it can have sent it. */
  long clientDeadlineNanos;

  /** Later once somebody who waits longer has joined it. */
  long deadlineNanos;

  /** Attempts that it may have, by the settings under which it was taken. */
  final int maxAttempts;

  /** Attempts that were written once more, on another connection to the same server. */
  int rewritten;

  final List<Attempt> attempts = new ArrayList<>(1);

  /** Attempts whose outcome the module has not been told. */
  int out;

  /** Whether the final answer is given, or the client has gone. */
  boolean ended;

  /** Whether the module knows of it, and whether it had got more time before that. */
  boolean begun;

  boolean extended;

  /** In whose words attempts go out from now on. */
  Call bearer;

  /** How the attempt ended that ended last, null if none has. */
  Outcome.Result lastResult;

  Exchange(Call call, long deadlineNanos, int maxAttempts, Settings.Idempotency effect) {
    this.call = call;
    this.effect = effect;
    this.clientDeadlineNanos = deadlineNanos;
    this.maxAttempts = maxAttempts;
    this.bearer = call;
    this.deadlineNanos = deadlineNanos;
  }

  public String id() {
    return call.request().id();
  }

  /** Whether an attempt may have been carried out, or may yet be. */
  boolean mayHaveRun() {
    return attempts.stream().anyMatch(Attempt::mayHaveRun);
  }
}
