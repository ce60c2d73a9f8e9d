package shalepaddle.cluster;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import shalepaddle.encoding.RaftMessageCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.RaftMember;
import shalepaddle.raft.RaftMember.MembershipChange;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.transport.MemberTransport;

/**
 * Handles the messages and requests of other members and of clients, on the transport's event loop.
 * Stateless: all state is in the {@link GroupMember}.
 */
final class MemberRequestHandler implements MemberTransport.Listener {
  private final GroupMember member;
  private final Consumer<String> log;

  MemberRequestHandler(GroupMember member, Consumer<String> log) {
    this.member = member;
    this.log = log;
  }

  @Override
  public void raftMessageReceived(byte[] message) {
    RaftMember raftMember = member.raftMember();
    if (raftMember == null) {
      // This member is still joining. The leader will send the message again.
      return;
    }
    RaftMessage decodedMessage;
    try {
      decodedMessage = RaftMessageCodec.decode(message);
    } catch (IOException e) {
      log.accept("ignored a Raft message: " + e.getMessage());
      return;
    }
    raftMember.handle(decodedMessage);
  }

  @Override
  public CompletionStage<byte[]> requestReceived(String method, byte[] body) {
    GroupRequest request = GroupRequest.ofWireName(method);
    if (request == GroupRequest.STATUS) {
      // A status request is handled even while this member is joining.
      return status();
    }
    RaftMember raftMember = member.raftMember();
    if (raftMember == null) {
      return rejectedResponse(member.name() + " is still joining");
    }
    if (request == null) {
      return rejectedResponse("there is no request '" + method + "'");
    }
    try {
      return handle(request, body, raftMember);
    } catch (IOException | IllegalArgumentException e) {
      return rejectedResponse(e.getMessage());
    }
  }

  private CompletionStage<byte[]> handle(GroupRequest request, byte[] body, RaftMember raftMember)
      throws IOException {
    return switch (request) {
      case STATUS -> status();
      case PROPOSE ->
          translateFailure(
              propose(ReplicatedStateCodec.decodeProposal(body), raftMember)
                  .thenApply(ReplicatedStateCodec::encodeResult));
      case READ ->
          translateFailure(read(raftMember).thenApply(ReplicatedStateCodec::encodeSnapshot));
      case JOIN -> addLearner(raftMember, decodeName(body));
      case PROMOTE ->
          changeMembership(raftMember, decodeName(body), MembershipChange.PROMOTE_TO_VOTER);
      case REMOVE -> changeMembership(raftMember, decodeName(body), MembershipChange.REMOVE);
    };
  }

  private CompletionStage<byte[]> status() {
    return CompletableFuture.completedFuture(MemberStatusCodec.encode(member.status()));
  }

  private static String decodeName(byte[] body) {
    return new String(body, StandardCharsets.UTF_8);
  }

  /**
   * Proposes a command at this member if it is the leader, and otherwise forwards it to the leader.
   * Only clients depend on that: members send their proposals to the leader.
   */
  private CompletionStage<CommandResult> propose(Proposal proposal, RaftMember raftMember) {
    return raftMember.status().isLeader()
        ? raftMember.propose(proposal)
        : member.propose(proposal, LeaderRequest.ATTEMPT_TIMEOUT_MILLIS);
  }

  private CompletionStage<ReplicatedState.Snapshot> read(RaftMember raftMember) {
    return raftMember.status().isLeader()
        ? raftMember.read()
        : member.read(LeaderRequest.ATTEMPT_TIMEOUT_MILLIS);
  }

  private CompletionStage<byte[]> addLearner(RaftMember raftMember, String name) {
    byte[] initialMembers =
        String.join(" ", raftMember.initialMembers()).getBytes(StandardCharsets.UTF_8);
    if (raftMember.status().members().contains(name)) {
      return CompletableFuture.completedFuture(initialMembers);
    }
    if (!raftMember.status().isLeader()) {
      return rejectedResponse(member.name() + " does not lead");
    }
    return translateFailure(
        raftMember
            .changeMembership(name, MembershipChange.ADD_LEARNER)
            .thenApply(done -> initialMembers));
  }

  private static CompletionStage<byte[]> changeMembership(
      RaftMember raftMember, String name, MembershipChange change) {
    return translateFailure(
        raftMember.changeMembership(name, change).thenApply(done -> new byte[0]));
  }

  private static CompletionStage<byte[]> rejectedResponse(String reason) {
    return CompletableFuture.failedFuture(RequestFailure.rejected(reason));
  }

  private static <T> CompletionStage<T> translateFailure(CompletionStage<T> result) {
    return result.handle(
        (value, failure) -> {
          if (failure != null) {
            throw new CompletionException(RequestFailure.of(failure));
          }
          return value;
        });
  }

  @Override
  public void diagnostic(String line) {
    log.accept(line);
  }
}
