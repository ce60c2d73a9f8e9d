package shalepaddle.cluster;

import java.io.IOException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import shalepaddle.raft.MemberExecutor;
import shalepaddle.raft.MemberStatus;
import shalepaddle.raft.NotCommittedException;
import shalepaddle.raft.NotCommittedException.Outcome;
import shalepaddle.transport.MemberTransport;

/**
 * A request to the leader, this member or another, repeated until it is answered or its time is up.
 * Owned by the member's thread. The future completes there or on the transport's event loop, so
 * what depends on it must not block; it never completes if the member is closed meanwhile.
 *
 * @param <T> the answer
 */
final class LeaderRequest<T> {
  /** How long another member has to answer an attempt. */
  static final long ATTEMPT_TIMEOUT_MILLIS = 500;

  /** Between a failed attempt and the next one. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Decodes an answer of another member. */
  interface AnswerDecoder<T> {
    T decode(byte[] bytes) throws IOException;
  }

  private final GroupRequest request;
  private final byte[] body;
  private final AnswerDecoder<T> decoder;
  private final Supplier<CompletionStage<T>> local;
  private final Supplier<MemberStatus> status;
  private final MemberExecutor executor;
  private final MemberTransport transport;
  private final CompletableFuture<T> answer = new CompletableFuture<>();
  private long deadlineNanos;

  /** Why the last attempt failed, for operators. */
  private String lastFailure = "not made";

  /** Whether any attempt may have taken effect though its answer did not come. */
  private boolean mayHaveTakenEffect;

  /**
   * A request that is not sent yet.
   *
   * @param body of the request to another member
   * @param local makes the request where this member is the leader
   * @param status the member's current status
   */
  LeaderRequest(
      GroupRequest request,
      byte[] body,
      AnswerDecoder<T> decoder,
      Supplier<CompletionStage<T>> local,
      Supplier<MemberStatus> status,
      MemberExecutor executor,
      MemberTransport transport) {
    this.request = request;
    this.body = body;
    this.decoder = decoder;
    this.local = local;
    this.status = status;
    this.executor = executor;
    this.transport = transport;
  }

  /**
   * Sends the request. To be called once.
   *
   * @return the answer; fails with {@link NotCommittedException} when the time is up
   */
  CompletionStage<T> send(long timeoutMillis) {
    deadlineNanos = executor.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    executor.execute(this::attempt);
    return answer;
  }

  private void attempt() {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - executor.nanoTime());
    if (remainingMillis <= 0) {
      answer.completeExceptionally(
          new NotCommittedException(
              mayHaveTakenEffect ? Outcome.INDETERMINATE : Outcome.REJECTED,
              "no leader completed the request in time; the last attempt: " + lastFailure));
      return;
    }
    MemberStatus current = status.get();
    if (current.isLeader()) {
      local.get().whenComplete(this::completeOrRetry);
    } else if (current.leader() != null) {
      transport
          .request(
              current.leader(),
              request.wireName(),
              body,
              Math.min(remainingMillis, ATTEMPT_TIMEOUT_MILLIS))
          .thenApply(this::decode)
          .whenComplete(this::completeOrRetry);
    } else {
      lastFailure = "no leader is known, as when the group has no majority in contact";
      scheduleRetry();
    }
  }

  private T decode(byte[] bytes) {
    try {
      return decoder.decode(bytes);
    } catch (IOException e) {
      throw new CompletionException(e);
    }
  }

  private void completeOrRetry(T value, Throwable failure) {
    if (failure == null) {
      answer.complete(value);
      return;
    }
    boolean mayHave = RequestFailure.mayHaveTakenEffect(failure);
    executor.execute(
        () -> {
          lastFailure = RequestFailure.reasonOf(failure);
          mayHaveTakenEffect |= mayHave;
          scheduleRetry();
        });
  }

  private void scheduleRetry() {
    executor.schedule(RETRY_DELAY_NANOS, this::attempt);
  }
}
