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
 * Adds a new member to its group, first as a learner and then as a voter. Each step is requested
 * repeatedly until it is done. Owned by the member's thread.
 */
final class JoinProcedure {
  private static final long JOIN_TIMEOUT_MILLIS = 2000;
  private static final long PROMOTION_INTERVAL_MILLIS = 500;

  private final MemberConfig config;
  private final MemberExecutor executor;
  private final MemberTransport transport;
  private final Supplier<MemberStatus> statusSupplier;
  private final Consumer<Collection<String>> onJoined;

  /**
   * Creates the procedure for a member that has not joined.
   *
   * @param statusSupplier returns the member's current status
   * @param onJoined starts the Raft member with the given names of the initial members; called on
   *     the member's thread
   */
  JoinProcedure(
      MemberConfig config,
      MemberExecutor executor,
      MemberTransport transport,
      Supplier<MemberStatus> statusSupplier,
      Consumer<Collection<String>> onJoined) {
    this.config = config;
    this.executor = executor;
    this.transport = transport;
    this.statusSupplier = statusSupplier;
    this.onJoined = onJoined;
  }

  /**
   * Requests from all known members that they add this member, repeatedly until one request
   * succeeds. The leader accepts the request, and so does any member that knows of an earlier
   * addition. Failures of single requests are ignored, since all other members reject them.
   */
  void start() {
    CompletableFuture<byte[]> firstSuccess = new CompletableFuture<>();
    for (String other : config.otherMembers().keySet()) {
      transport
          .request(other, GroupRequest.JOIN.wireName(), encodedName(), JOIN_TIMEOUT_MILLIS)
          .thenAccept(firstSuccess::complete);
    }
    executor.schedule(
        TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MILLIS),
        () ->
            firstSuccess.completeExceptionally(
                new TimeoutException("no member accepted the request")));
    firstSuccess.whenComplete(
        (initialMembers, failure) ->
            executor.execute(
                () -> {
                  if (failure != null) {
                    start();
                  } else {
                    // Spaces separate the names: MemberConfig permits none in a name.
                    onJoined.accept(
                        List.of(new String(initialMembers, StandardCharsets.UTF_8).split(" ")));
                    requestPromotion();
                  }
                }));
  }

  /**
   * Requests from the leader to make this member a voter, repeatedly until this member's status
   * lists it as one. The responses are ignored.
   */
  private void requestPromotion() {
    MemberStatus currentStatus = statusSupplier.get();
    if (currentStatus.votingMembers().contains(config.name())) {
      return;
    }
    if (currentStatus.leader() != null) {
      transport.request(
          currentStatus.leader(),
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
