package shalepaddle.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.exception.CannotReplicateException;
import io.microraft.exception.IndeterminateStateException;
import io.microraft.exception.NotLeaderException;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport;
import io.microraft.report.RaftTerm;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.NotCommittedException.Outcome;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.storage.RaftLogStore;

/**
 * One member's part in the group: it proposes, votes, and applies what a majority holds.
 *
 * <p>Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) with
 * pre-votes and sticky leaders, so that a member that comes back from a cut link does not unseat a
 * leader that works (Ongaro's thesis, 9.6), by MicroRaft. Here is only what joins it to the
 * journal, the links and the promises, and says in this project's words what became of a proposal.
 *
 * <p>All methods may be called from any thread; futures complete on the member's.
 */
public final class RaftMember implements AutoCloseable {
  /** Is told of what happens, on the member's thread. */
  public interface Listener {
    /**
     * An entry of the log is held, and applied here; in the order of the log.
     *
     * @param body its bytes as the log has them, with what a later version may have put into them
     */
    void entryApplied(long index, byte[] body, Proposal proposal, CommandResult answer);

    /** A snapshot took the place of all that was applied. */
    void snapshotInstalled(ReplicatedState.Snapshot image);

    /** The group stands otherwise than before. */
    void statusChanged(MemberStatus standing);
  }

  /** Carries messages to other members; may lose, delay, double and reorder them. */
  @FunctionalInterface
  public interface MessageSender {
    void send(String member, RaftMessage message);
  }

  /** No word of a leader for so long, and none asked for a vote: the library is stuck. */
  private static final long STUCK_NANOS = 3 * RaftTimeouts.leaderLossTimeoutMillis() * 1_000_000;

  /** How often it is tried to hold again after the journal has failed. */
  private static final long RECOVER_NANOS = 250_000_000;

  private final String group;
  private final String name;
  private final Collection<RaftEndpoint> first = new LinkedHashSet<>();
  private final int snapshotEvery;
  private final RaftLogStore logStore;
  private final MemberExecutor executor;
  private final MessageSender sender;
  private final Random random;
  private final Listener listener;

  // Changed on the member's thread alone.
  private ReplicatedStateMachine stateMachine;
  private volatile RaftNode node;
  private volatile MemberStatus status;
  private volatile long heardAt;
  private volatile long askedAt;
  private volatile SnapshotBoundary snapshotBoundary;

  private boolean closed;

  /**
   * A member that has not begun.
   *
   * @param name its own, one of the members or, where it is to join, another
   * @param members the names of those with whom the group began
   * @param snapshotEvery entries between two snapshots
   * @param seed for the times of elections
   */
  public RaftMember(
      String group,
      String name,
      Collection<String> members,
      int snapshotEvery,
      RaftLogStore journal,
      MemberExecutor turns,
      MessageSender links,
      long seed,
      Listener listener) {
    this.group = group;
    this.name = name;
    this.snapshotEvery = snapshotEvery;
    this.logStore = journal;
    this.executor = turns;
    this.sender = links;
    this.random = new Random(seed);
    this.listener = listener;
    members.forEach(member -> first.add(new Endpoint(member)));
    status = new MemberStatus(name, "FOLLOWER", null, 0, List.of(), List.of(), 0, 0, null);
    node = build();
  }

  private RaftNode build() {
    stateMachine =
        new ReplicatedStateMachine(
            stateMachine == null ? 0 : stateMachine.promises().index(), listener);
    heardAt = executor.nanoTime();
    askedAt = heardAt;
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(group)
            .setConfig(RaftTimeouts.config(snapshotEvery))
            .setExecutor(RaftTimeouts.executor(executor))
            .setClock(RaftTimeouts.clock(executor::nanoTime))
            .setRandom(random)
            .setTransport(transport())
            .setStateMachine(stateMachine)
            .setStore(logStore)
            .setModelFactory(LogEntryCodec.model())
            .setRaftNodeReportListener(this::reported);
    RestoredRaftState restored = logStore.restoredState();
    snapshotBoundary =
        new SnapshotBoundary(
            restored == null || restored.getSnapshotEntry() == null
                ? 0
                : restored.getSnapshotEntry().getIndex());
    if (restored == null) {
      builder.setLocalEndpoint(new Endpoint(name)).setInitialGroupMembers(first);
    } else {
      builder.setRestoredState(restored);
    }
    return builder.build();
  }

  private Transport transport() {
    return new Transport() {
      @Override
      public void send(RaftEndpoint target, RaftMessage message) {
        if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
          askedAt = executor.nanoTime();
        }
        sender.send(
            ((Endpoint) target).name(),
            message instanceof AppendEntriesSuccessResponse response
                ? snapshotBoundary.answer((Endpoint) target, response)
                : message);
      }

      @Override
      public boolean isReachable(RaftEndpoint endpoint) {
        // Only what comes back tells that.
        return true;
      }
    };
  }

  /** Begins to take part. */
  public CompletionStage<?> start() {
    executor.schedule(STUCK_NANOS, this::watch);
    executor.schedule(RECOVER_NANOS, this::recover);
    return node.start();
  }

  /** Takes part again, from what the journal surely holds, once its disk allows it. */
  private void recover() {
    if (closed) {
      return;
    }
    if (logStore.failure() != null && logStore.recover()) {
      beginAnew();
    }
    executor.schedule(RECOVER_NANOS, this::recover);
  }

  private void beginAnew() {
    node.terminate();
    node = build();
    node.start();
  }

  /**
   * Begins anew, from what is on the disk, where the library stands still: a follower that hears of
   * a leader while its pre-vote is under way never asks for votes again, once that leader is lost,
   * until another member has made a new term (MicroRaft 0.7: the state of the pre-vote is not
   * cleared). Guards against a group that is led by nobody though a majority is there. Harms
   * nothing: it is what a restart of the process does.
   */
  private void watch() {
    if (closed) {
      return;
    }
    long now = executor.nanoTime();
    boolean votes = status.role().equals("FOLLOWER") && status.inactiveReason() == null;
    if (votes && now - heardAt > STUCK_NANOS && now - askedAt > STUCK_NANOS) {
      beginAnew();
    }
    executor.schedule(STUCK_NANOS / 3, this::watch);
  }

  /** A message has come from another member. */
  public void handle(RaftMessage message) {
    if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
      heardAt = executor.nanoTime();
    }
    if (status.inactiveReason() != null) {
      return;
    }
    node.handle(
        message instanceof AppendEntriesRequest request ? snapshotBoundary.ask(request) : message);
    if (message instanceof PreVoteResponse response && !response.isGranted()) {
      executor.execute(() -> takeTerm(response));
    }
  }

  /**
   * Takes a later term that was told with a no to a pre-vote, by way of a vote that is asked for
   * with an empty log. Guards against a standstill of MicroRaft 0.7, which does not look at that
   * term: where one of two members has the longer log and the other the later term, each turns down
   * the other's pre-vote for good. A term that is one later may be the echo of what was asked.
   */
  private void takeTerm(PreVoteResponse response) {
    RaftTerm own = node.getTerm();
    if (own.getLeaderEndpoint() == null && response.getTerm() > own.getTerm() + 1) {
      node.handle(
          LogEntryCodec.model()
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(response.getSender())
              .setTerm(response.getTerm())
              .setLastLogTerm(0)
              .setLastLogIndex(0)
              .setSticky(false)
              .build());
    }
  }

  private void reported(RaftNodeReport report) {
    if (report.getStatus() != node.getStatus()) {
      // Of a part that was left behind.
      return;
    }
    MemberStatus before = status;
    IOException failed = logStore.failure();
    boolean over = RaftNodeStatus.isTerminal(report.getStatus());
    status =
        new MemberStatus(
            name,
            report.getRole().name(),
            report.getTerm().getLeaderEndpoint() == null
                ? null
                : ((Endpoint) report.getTerm().getLeaderEndpoint()).name(),
            report.getTerm().getTerm(),
            LogEntryCodec.names(report.getCommittedMembers().getMembers()),
            LogEntryCodec.names(report.getCommittedMembers().getVotingMembers()),
            report.getLog().getCommitIndex(),
            report.getLog().getLastLogOrSnapshotIndex(),
            failed != null ? failed.getMessage() : over ? "it has ended" : null);
    if (!status.equals(before)) {
      listener.statusChanged(status);
    }
  }

  /** How the group stands, as it was last reported. */
  public MemberStatus status() {
    return status;
  }

  /**
   * Asks the group to hold this, where this member leads.
   *
   * @return the answer, once a majority has it on disk; else fails with {@link
   *     NotCommittedException}
   */
  public CompletionStage<CommandResult> propose(Proposal proposal) {
    CompletableFuture<CommandResult> answered = new CompletableFuture<>();
    executor.execute(
        () -> {
          CommandResult before = stateMachine.promises().retainedResult(proposal.id());
          if (before != null) {
            // Asked again, and applied, so it is held: no second entry.
            answered.complete(before);
            return;
          }
          node.<CommandResult>replicate(ReplicatedStateCodec.proposal(proposal))
              .whenComplete(
                  (ordered, cause) -> {
                    if (cause == null) {
                      answered.complete(ordered.getResult());
                    } else {
                      answered.completeExceptionally(notHeld(cause));
                    }
                  });
        });
    return answered;
  }

  private NotCommittedException notHeld(Throwable cause) {
    Throwable root = cause instanceof CompletionException ? cause.getCause() : cause;
    if (root instanceof NotLeaderException e) {
      String leader = e.getLeader() == null ? null : ((Endpoint) e.getLeader()).name();
      return new NotCommittedException(Outcome.REJECTED, name + " does not lead", leader);
    }
    if (root instanceof CannotReplicateException) {
      return new NotCommittedException(Outcome.REJECTED, "too much waits for the majority", null);
    }
    if (root instanceof IndeterminateStateException) {
      return new NotCommittedException(
          Outcome.INDETERMINATE, name + " lost its lead meanwhile", null);
    }
    return new NotCommittedException(
        Outcome.INDETERMINATE, String.valueOf(root.getMessage()), null);
  }

  /**
   * What is held at this moment: whoever was answered before this call finds it here.
   *
   * @return the image, from the leader alone, which asks a majority whether it still leads
   */
  public CompletionStage<ReplicatedState.Snapshot> read() {
    CompletableFuture<ReplicatedState.Snapshot> answered = new CompletableFuture<>();
    executor.execute(
        () ->
            node.query(
                    LogEntryCodec.EMPTY_OPERATION,
                    QueryPolicy.LINEARIZABLE,
                    Optional.empty(),
                    Optional.empty())
                .whenComplete(
                    (ordered, cause) -> {
                      if (cause == null) {
                        answered.complete(stateMachine.promises().snapshot());
                      } else {
                        answered.completeExceptionally(notHeld(cause));
                      }
                    }));
    return answered;
  }

  /** What is held as far as it is applied here, perhaps less than at others; on its thread. */
  public ReplicatedState.Snapshot appliedState() {
    return stateMachine.promises().snapshot();
  }

  /** How a member comes and goes. One change at a time. */
  public enum MembershipChange {
    /** It hears all, and has no vote. */
    ADD_LEARNER,
    /** It votes. */
    PROMOTE_TO_VOTER,
    /** It leaves for good; its name is not used again. */
    REMOVE
  }

  /** Changes the group, where this member leads. */
  public CompletionStage<?> changeMembership(String member, MembershipChange change) {
    CompletableFuture<Object> answered = new CompletableFuture<>();
    MembershipChangeMode mode =
        switch (change) {
          case ADD_LEARNER -> MembershipChangeMode.ADD_LEARNER;
          case PROMOTE_TO_VOTER -> MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER;
          case REMOVE -> MembershipChangeMode.REMOVE_MEMBER;
        };
    executor.execute(
        () ->
            node.changeMembership(
                    new Endpoint(member), mode, node.getCommittedMembers().getLogIndex())
                .whenComplete(
                    (ordered, cause) -> {
                      if (cause == null) {
                        answered.complete(ordered);
                      } else {
                        answered.completeExceptionally(notHeld(cause));
                      }
                    }));
    return answered;
  }

  /** The members with whom the group began: a new one has to be told. */
  public List<String> initialMembers() {
    return LogEntryCodec.names(node.getInitialMembers().getMembers());
  }

  /** Takes no part any more. The journal is left to whoever opened it. */
  @Override
  public void close() {
    executor.execute(
        () -> {
          closed = true;
          node.terminate();
        });
  }
}
