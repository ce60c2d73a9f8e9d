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
 * A request to the leader, which may be this member or another. It is repeated until it succeeds or
 * times out. Owned by the member's thread. The future completes on that thread or on the
 * transport's event loop, so its dependent actions must not block. It never completes if the member
 * is closed first.
 *
 * @param <T> the type of the result
 */
final class LeaderRequest<T> {
  /** How long another member has to respond to one attempt. */
  static final long ATTEMPT_TIMEOUT_MILLIS = 500;

  /** The delay between a failed attempt and the next one. */
  private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /** Decodes a response of another member. */
  interface ResponseDecoder<T> {
    T decode(byte[] bytes) throws IOException;
  }

  private final GroupRequest request;
  private final byte[] body;
  private final ResponseDecoder<T> decoder;
  private final Supplier<CompletionStage<T>> localRequest;
  private final Supplier<MemberStatus> statusSupplier;
  private final MemberExecutor executor;
  private final MemberTransport transport;
  private final CompletableFuture<T> result = new CompletableFuture<>();
  private long deadlineNanos;

  /** Why the last attempt failed, for operators. */
  private String lastFailure = "not made";

  /** Whether any attempt may have taken effect although it failed. */
  private boolean mayHaveTakenEffect;

  /**
   * Creates a request, without sending it.
   *
   * @param body the body of the request to another member
   * @param localRequest executes the request if this member is the leader
   * @param statusSupplier returns this member's current status
   */
  LeaderRequest(
      GroupRequest request,
      byte[] body,
      ResponseDecoder<T> decoder,
      Supplier<CompletionStage<T>> localRequest,
      Supplier<MemberStatus> statusSupplier,
      MemberExecutor executor,
      MemberTransport transport) {
    this.request = request;
    this.body = body;
    this.decoder = decoder;
    this.localRequest = localRequest;
    this.statusSupplier = statusSupplier;
    this.executor = executor;
    this.transport = transport;
  }

  /**
   * Sends the request. Must be called only once.
   *
   * @return the result; fails with {@link NotCommittedException} when the timeout has passed
   */
  CompletionStage<T> send(long timeoutMillis) {
    deadlineNanos = executor.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    executor.execute(this::makeAttempt);
    return result;
  }

  private void makeAttempt() {
    long remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - executor.nanoTime());
    if (remainingMillis <= 0) {
      result.completeExceptionally(
          new NotCommittedException(
              mayHaveTakenEffect ? Outcome.INDETERMINATE : Outcome.REJECTED,
              "no leader completed the request in time; the last attempt: " + lastFailure));
      return;
    }
    MemberStatus currentStatus = statusSupplier.get();
    if (currentStatus.isLeader()) {
      localRequest.get().whenComplete(this::completeOrRetry);
    } else if (currentStatus.leader() != null) {
      transport
          .request(
              currentStatus.leader(),
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
      result.complete(value);
      return;
    }
    boolean attemptMayHaveTakenEffect = RequestFailure.mayHaveTakenEffect(failure);
    executor.execute(
        () -> {
          lastFailure = RequestFailure.reasonOf(failure);
          mayHaveTakenEffect |= attemptMayHaveTakenEffect;
          scheduleRetry();
        });
  }

  private void scheduleRetry() {
    executor.schedule(RETRY_DELAY_NANOS, this::makeAttempt);
  }
}
