package shalepaddle.cluster;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import java.util.function.Supplier;
import shalepaddle.raft.MemberExecutor;
import shalepaddle.raft.MemberStatus;
import shalepaddle.transport.MemberTransport;

/**
 * Makes a new member part of its group: first a learner, then a voter. Each step is requested until
 * it is done. Owned by the member's thread.
 */
final class JoinProcedure {
  private static final long JOIN_TIMEOUT_MILLIS = 2000;
  private static final long PROMOTION_INTERVAL_MILLIS = 500;

  private final MemberConfig config;
  private final MemberExecutor executor;
  private final MemberTransport transport;
  private final Supplier<MemberStatus> status;
  private final Consumer<Collection<String>> onJoined;

  /**
   * The procedure of a member that has not joined.
   *
   * @param status the member's current status
   * @param onJoined starts its part in Raft, given the initial members, on the member's thread
   */
  JoinProcedure(
      MemberConfig config,
      MemberExecutor executor,
      MemberTransport transport,
      Supplier<MemberStatus> status,
      Consumer<Collection<String>> onJoined) {
    this.config = config;
    this.executor = executor;
    this.transport = transport;
    this.status = status;
    this.onJoined = onJoined;
  }

  /**
   * Asks all known members to be added, and again until one succeeds: the leader, or any that knows
   * this member to be added already. Failures of single requests are ignored, since all but the
   * leader reject them.
   */
  void start() {
    CompletableFuture<byte[]> firstAnswer = new CompletableFuture<>();
    for (String other : config.otherMembers().keySet()) {
      transport
          .request(other, GroupRequest.JOIN.wireName(), encodedName(), JOIN_TIMEOUT_MILLIS)
          .thenAccept(firstAnswer::complete);
    }
    executor.schedule(
        TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MILLIS),
        () -> firstAnswer.completeExceptionally(new TimeoutException("nobody answers")));
    firstAnswer.whenComplete(
        (initialMembers, failure) ->
            executor.execute(
                () -> {
                  if (failure != null) {
                    start();
                  } else {
                    // Names have no spaces: MemberConfig checks them.
                    onJoined.accept(
                        List.of(new String(initialMembers, StandardCharsets.UTF_8).split(" ")));
                    requestPromotion();
                  }
                }));
  }

  /** Asks the leader for a vote until this member has one; the answers are not needed. */
  private void requestPromotion() {
    MemberStatus current = status.get();
    if (current.votingMembers().contains(config.name())) {
      return;
    }
    if (current.leader() != null) {
      transport.request(
          current.leader(),
          GroupRequest.PROMOTE.wireName(),
          encodedName(),
          PROMOTION_INTERVAL_MILLIS);
    }
    executor.schedule(
        TimeUnit.MILLISECONDS.toNanos(PROMOTION_INTERVAL_MILLIS), this::requestPromotion);
  }

  private byte[] encodedName() {
    return config.name().getBytes(StandardCharsets.UTF_8);
  }
}
