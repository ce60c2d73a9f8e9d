package shalepaddle.raft;

import io.microraft.MembershipChangeMode;
import io.microraft.Ordered;
import io.microraft.QueryPolicy;
import io.microraft.RaftEndpoint;
import io.microraft.RaftNode;
import io.microraft.RaftNodeStatus;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.VoteRequest;
import io.microraft.persistence.RestoredRaftState;
import io.microraft.report.RaftNodeReport;
import io.microraft.transport.Transport;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import shalepaddle.encoding.Endpoint;
import shalepaddle.encoding.LogEntryCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.storage.RaftLogStore;

/**
 * One member of a Raft group: proposes, votes, and applies committed entries.
 *
 * <p>The library MicroRaft implements Raft (Ongaro and Ousterhout, "In Search of an Understandable
 * Consensus Algorithm", 2014) with pre-votes and leader stickiness (Ongaro's thesis, 9.6), so that
 * a member that was partitioned does not depose a working leader when it reconnects. This class
 * connects the library to the log store, the transport and the replicated state, and restarts the
 * library after a disk failure or a stalled election.
 *
 * <p>Thread-safe, except {@link #appliedState}; futures complete on the member's thread. Calls
 * after {@link #close} have no effect, and their futures may never complete.
 */
public final class RaftMember implements AutoCloseable {
  /** Receives notifications on the member's thread, which the listener must not block. */
  public interface Listener {
    /**
     * A committed entry was applied at this member. Called in the order of the log.
     *
     * @param body the entry's encoded bytes, including fields that only a later version knows
     */
    void entryApplied(long index, byte[] body, Proposal proposal, CommandResult result);

    /** A snapshot replaced this member's state, including the effect of all applied entries. */
    void snapshotInstalled(ReplicatedState.Snapshot snapshot);

    /** At least one field of the status has changed. */
    void statusChanged(MemberStatus status);
  }

  /** Sends messages to other members. Messages may be lost, delayed, duplicated and reordered. */
  @FunctionalInterface
  public interface MessageSender {
    void send(String member, RaftMessage message);
  }

  /** A change to a member's role in the group. Only one may be in progress at a time. */
  public enum MembershipChange {
    /** Adds a member that receives entries, without a vote. */
    ADD_LEARNER(MembershipChangeMode.ADD_LEARNER),
    /** Gives a learner a vote. */
    PROMOTE_TO_VOTER(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER),
    /** Removes a member permanently; its name must not be used again. */
    REMOVE(MembershipChangeMode.REMOVE_MEMBER);

    private final MembershipChangeMode mode;

    MembershipChange(MembershipChangeMode mode) {
      this.mode = mode;
    }
  }

  /** The interval at which a failed log store is detected and its recovery is tried. */
  private static final long RECOVERY_INTERVAL_NANOS = 250_000_000;

  private final String group;
  private final String name;
  private final Collection<RaftEndpoint> initialMembers = new LinkedHashSet<>();
  private final int entriesBetweenSnapshots;
  private final RaftLogStore logStore;
  private final MemberExecutor executor;
  private final MessageSender sender;
  private final Random random;
  private final Listener listener;
  private final ElectionWatchdog watchdog = new ElectionWatchdog();

  // After construction, these fields are written only on the member's thread.
  private ReplicatedStateMachine stateMachine;
  private volatile RaftNode node;
  private volatile MemberStatus status;
  private volatile SnapshotBoundary snapshotBoundary;
  private boolean isClosed;

  /**
   * Creates a member, without starting it.
   *
   * @param name the member's name: one of the initial members, or a new name if it joins later
   * @param members the names of the initial members of the group
   * @param entriesBetweenSnapshots the number of committed entries after which a snapshot is taken
   * @param logStore the member's log, which {@link #close} does not close
   * @param seed the seed of the random election timeouts
   */
  public RaftMember(
      String group,
      String name,
      Collection<String> members,
      int entriesBetweenSnapshots,
      RaftLogStore logStore,
      MemberExecutor executor,
      MessageSender sender,
      long seed,
      Listener listener) {
    this.group = group;
    this.name = name;
    this.entriesBetweenSnapshots = entriesBetweenSnapshots;
    this.logStore = logStore;
    this.executor = executor;
    this.sender = sender;
    this.random = new Random(seed);
    this.listener = listener;
    members.forEach(member -> initialMembers.add(new Endpoint(member)));
    status = MemberStatus.initialStatus(name, MemberRole.FOLLOWER);
    node = buildNode(0);
  }

  /**
   * Builds MicroRaft's node from the state in the log store, and resets everything that belongs to
   * a single run of the node: the state machine, the snapshot boundary and the times of the
   * watchdog. Called by the constructor or on the member's thread.
   *
   * @param lastNotifiedIndex the index of the last entry of which the listener was notified
   */
  private RaftNode buildNode(long lastNotifiedIndex) {
    stateMachine = new ReplicatedStateMachine(lastNotifiedIndex, listener);
    watchdog.libraryStarted(executor.nanoTime());
    RaftNode.RaftNodeBuilder builder =
        RaftNode.newBuilder()
            .setGroupId(group)
            .setConfig(RaftTimeouts.config(entriesBetweenSnapshots))
            .setExecutor(RaftTimeouts.executor(executor))
            .setClock(RaftTimeouts.clock(executor::nanoTime))
            .setRandom(random)
            .setTransport(new SenderTransport())
            .setStateMachine(stateMachine)
            .setStore(logStore)
            .setModelFactory(LogEntryCodec.modelFactory())
            .setRaftNodeReportListener(this::handleReport);
    RestoredRaftState restoredState = logStore.restoredState();
    snapshotBoundary =
        new SnapshotBoundary(
            restoredState == null || restoredState.getSnapshotEntry() == null
                ? 0
                : restoredState.getSnapshotEntry().getIndex());
    if (restoredState == null) {
      builder.setLocalEndpoint(new Endpoint(name)).setInitialGroupMembers(initialMembers);
    } else {
      builder.setRestoredState(restoredState);
    }
    return builder.build();
  }

  private final class SenderTransport implements Transport {
    @Override
    public void send(RaftEndpoint target, RaftMessage message) {
      if (message instanceof PreVoteRequest || message instanceof VoteRequest) {
        watchdog.voteRequestSent(executor.nanoTime());
      }
      sender.send(
          ((Endpoint) target).name(),
          message instanceof AppendEntriesSuccessResponse response
              ? snapshotBoundary.adjustResponse(target, response)
              : message);
    }

    @Override
    public boolean isReachable(RaftEndpoint endpoint) {
      // Reachability is unknown without a response, so every member counts as reachable.
      return true;
    }
  }

  /**
   * Starts the Raft node and the periodic checks of the log store and of the elections. Must be
   * called only once.
   */
  public CompletionStage<?> start() {
    executor.schedule(ElectionWatchdog.STALL_TIMEOUT_NANOS, this::restartIfStalled);
    executor.schedule(RECOVERY_INTERVAL_NANOS, this::recoverIfFailed);
    return node.start();
  }

  /**
   * Recovers a failed log store and restarts MicroRaft from the recovered state, since its state in
   * memory may be ahead of the disk.
   */
  private void recoverIfFailed() {
    if (isClosed) {
      return;
    }
    if (logStore.failure() != null && logStore.recover()) {
      restart();
    }
    executor.schedule(RECOVERY_INTERVAL_NANOS, this::recoverIfFailed);
  }

  private void restartIfStalled() {
    if (isClosed) {
      return;
    }
    if (watchdog.isStalled(executor.nanoTime(), status)) {
      restart();
    }
    executor.schedule(ElectionWatchdog.STALL_TIMEOUT_NANOS / 3, this::restartIfStalled);
  }

  /** Replaces MicroRaft's node by a new one. Called on the member's thread. */
  private void restart() {
    node.terminate();
    node = buildNode(stateMachine.state().index());
    node.start();
  }

  /**
   * Handles a message from another member, asynchronously on the member's thread. Messages to an
   * inactive member are dropped.
   */
  public void handle(RaftMessage message) {
    if (message instanceof AppendEntriesRequest || message instanceof InstallSnapshotRequest) {
      watchdog.leaderMessageReceived(executor.nanoTime());
    }
    if (!status.isActive()) {
      return;
    }
    node.handle(
        message instanceof AppendEntriesRequest request
            ? snapshotBoundary.adjustRequest(request)
            : message);
    if (message instanceof PreVoteResponse response && !response.isGranted()) {
      // This task runs after MicroRaft has handled the response, on the same thread.
      executor.execute(() -> ElectionWatchdog.adoptTerm(node, group, response));
    }
  }

  private void handleReport(RaftNodeReport report) {
    if (report.getStatus() != node.getStatus()) {
      // This late report is from the node that a restart has terminated and replaced.
      return;
    }
    MemberStatus previousStatus = status;
    RaftEndpoint leader = report.getTerm().getLeaderEndpoint();
    status =
        new MemberStatus(
            name,
            MemberRole.of(report.getRole()),
            leader == null ? null : ((Endpoint) leader).name(),
            report.getTerm().getTerm(),
            LogEntryCodec.memberNames(report.getCommittedMembers().getMembers()),
            LogEntryCodec.memberNames(report.getCommittedMembers().getVotingMembers()),
            report.getLog().getCommitIndex(),
            report.getLog().getLastLogOrSnapshotIndex(),
            inactiveReason(report));
    if (!status.equals(previousStatus)) {
      listener.statusChanged(status);
    }
  }

  private String inactiveReason(RaftNodeReport report) {
    IOException failure = logStore.failure();
    if (failure != null) {
      return failure.getMessage();
    }
    return RaftNodeStatus.isTerminal(report.getStatus()) ? "it has ended" : null;
  }

  /** This member's view of the group, as of MicroRaft's last report, at most 200 ms old. */
  public MemberStatus status() {
    return status;
  }

  /**
   * Proposes a command, if this member is the leader.
   *
   * @return the result, once a majority has the entry on disk; otherwise fails with {@link
   *     NotCommittedException}
   */
  public CompletionStage<CommandResult> propose(Proposal proposal) {
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    executor.execute(
        () -> {
          CommandResult earlierResult = stateMachine.state().retainedResult(proposal.id());
          if (earlierResult != null) {
            // The proposal was committed and applied before, so it must not get another entry.
            result.complete(earlierResult);
            return;
          }
          complete(
              result,
              node.<CommandResult>replicate(ReplicatedStateCodec.encodeProposal(proposal)),
              Ordered::getResult);
        });
    return result;
  }

  /**
   * Reads the committed state, linearizably: it includes every entry that was acknowledged before
   * this call. The leader first confirms with a majority that it is still the leader.
   *
   * @return the state; fails with {@link NotCommittedException} if this member is not the leader
   */
  public CompletionStage<ReplicatedState.Snapshot> read() {
    CompletableFuture<ReplicatedState.Snapshot> result = new CompletableFuture<>();
    executor.execute(
        () ->
            complete(
                result,
                node.query(
                    LogEntryCodec.EMPTY_OPERATION,
                    QueryPolicy.LINEARIZABLE,
                    Optional.empty(),
                    Optional.empty()),
                ordered -> stateMachine.state().snapshot()));
    return result;
  }

  /**
   * Changes the role of a member, if this member is the leader.
   *
   * @return fails with {@link NotCommittedException} if the change was not committed
   */
  public CompletionStage<?> changeMembership(String member, MembershipChange change) {
    CompletableFuture<Object> result = new CompletableFuture<>();
    executor.execute(
        () ->
            complete(
                result,
                node.changeMembership(
                    new Endpoint(member), change.mode, node.getCommittedMembers().getLogIndex()),
                ordered -> ordered));
    return result;
  }

  /** Completes a future with MicroRaft's converted result, or with its translated failure. */
  private <T, R> void complete(
      CompletableFuture<R> result,
      CompletableFuture<Ordered<T>> libraryResult,
      Function<Ordered<T>, R> conversion) {
    libraryResult.whenComplete(
        (ordered, failure) -> {
          if (failure == null) {
            result.complete(conversion.apply(ordered));
          } else {
            result.completeExceptionally(NotCommittedException.ofLibraryFailure(name, failure));
          }
        });
  }

  /**
   * The state up to the last entry that was applied at this member, which may be behind the
   * committed state. Must be called on the member's thread.
   */
  public ReplicatedState.Snapshot appliedState() {
    return stateMachine.state().snapshot();
  }

  /** The names of the initial members of the group, which a joining member needs. */
  public List<String> initialMembers() {
    return LogEntryCodec.memberNames(node.getInitialMembers().getMembers());
  }

  /** Terminates the Raft node, asynchronously. The log store stays open. */
  @Override
  public void close() {
    executor.execute(
        () -> {
          isClosed = true;
          node.terminate();
        });
  }
}
