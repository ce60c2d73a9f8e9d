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
 * <p>Raft (Ongaro and Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014) by
 * MicroRaft, with pre-votes and leader stickiness (Ongaro's thesis, 9.6), so that a member whose
 * network was cut does not unseat a working leader when it comes back. This class joins the library
 * to the log store, the transport and the replicated state, and restarts it after a disk failure or
 * a stalled election.
 *
 * <p>Thread-safe, except {@link #appliedState}; futures complete on the member's thread. Calls
 * after {@link #close} have no effect, and their futures may never complete.
 */
public final class RaftMember implements AutoCloseable {
  /** Is notified on the member's thread, which must not be blocked. */
  public interface Listener {
    /**
     * A committed entry was applied here. Called in the order of the log.
     *
     * @param body the entry's bytes, with fields that only a later version knows
     */
    void entryApplied(long index, byte[] body, Proposal proposal, CommandResult result);

    /** A snapshot replaced the state of all entries that were applied. */
    void snapshotInstalled(ReplicatedState.Snapshot snapshot);

    /** The status has changed in any of its fields. */
    void statusChanged(MemberStatus status);
  }

  /** Sends messages to other members; may lose, delay, duplicate and reorder them. */
  @FunctionalInterface
  public interface MessageSender {
    void send(String member, RaftMessage message);
  }

  /** A change of a member's part in the group. One at a time. */
  public enum MembershipChange {
    /** Takes entries from now on, without a vote. */
    ADD_LEARNER(MembershipChangeMode.ADD_LEARNER),
    /** Votes from now on. */
    PROMOTE_TO_VOTER(MembershipChangeMode.ADD_OR_PROMOTE_TO_FOLLOWER),
    /** Leaves for good; its name must not be used again. */
    REMOVE(MembershipChangeMode.REMOVE_MEMBER);

    private final MembershipChangeMode mode;

    MembershipChange(MembershipChangeMode mode) {
      this.mode = mode;
    }
  }

  /** Between two checks whether the log store has failed and can be recovered. */
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

  // Written on the member's thread alone, after construction.
  private ReplicatedStateMachine stateMachine;
  private volatile RaftNode node;
  private volatile MemberStatus status;
  private volatile SnapshotBoundary snapshotBoundary;
  private boolean isClosed;

  /**
   * A member that has not started.
   *
   * @param name its own: one of the members or, if it is to join, another
   * @param members the names of those with whom the group began
   * @param entriesBetweenSnapshots after how many committed entries a snapshot is taken
   * @param logStore stays open when this is closed
   * @param seed for election timeouts
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
    status = MemberStatus.initial(name, MemberRole.FOLLOWER);
    node = buildNode(0);
  }

  /**
   * Builds the library's node from what the log store holds, and replaces what belongs to one run
   * of it: the state machine, the snapshot boundary and the times of the watchdog. In the
   * constructor or on the member's thread.
   *
   * @param lastNotifiedIndex the listener was notified of entries up to there
   */
  private RaftNode buildNode(long lastNotifiedIndex) {
    stateMachine = new ReplicatedStateMachine(lastNotifiedIndex, listener);
    watchdog.restarted(executor.nanoTime());
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
            .setModelFactory(LogEntryCodec.model())
            .setRaftNodeReportListener(this::reported);
    RestoredRaftState restored = logStore.restoredState();
    snapshotBoundary =
        new SnapshotBoundary(
            restored == null || restored.getSnapshotEntry() == null
                ? 0
                : restored.getSnapshotEntry().getIndex());
    if (restored == null) {
      builder.setLocalEndpoint(new Endpoint(name)).setInitialGroupMembers(initialMembers);
    } else {
      builder.setRestoredState(restored);
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
      // Not known without a response, so it is assumed.
      return true;
    }
  }

  /**
   * Starts to take part, and the periodic checks of the log store and of the elections. To be
   * called once.
   */
  public CompletionStage<?> start() {
    executor.schedule(ElectionWatchdog.STALL_NANOS, this::restartIfStalled);
    executor.schedule(RECOVERY_INTERVAL_NANOS, this::recoverIfFailed);
    return node.start();
  }

  /**
   * Recovers a failed log store, and restarts the library from what is certainly on disk: its
   * memory may be ahead of that.
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
    executor.schedule(ElectionWatchdog.STALL_NANOS / 3, this::restartIfStalled);
  }

  /** Replaces the library's node by a new one. On the member's thread. */
  private void restart() {
    node.terminate();
    node = buildNode(stateMachine.state().index());
    node.start();
  }

  /**
   * Handles a message of another member, later on the member's thread. Messages to an inactive
   * member are dropped.
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
      // After the library has handled the response, which it also does on the member's thread.
      executor.execute(() -> ElectionWatchdog.adoptTerm(node, group, response));
    }
  }

  private void reported(RaftNodeReport report) {
    if (report.getStatus() != node.getStatus()) {
      // A late report of the terminated node that a restart has replaced.
      return;
    }
    MemberStatus before = status;
    RaftEndpoint leader = report.getTerm().getLeaderEndpoint();
    status =
        new MemberStatus(
            name,
            MemberRole.of(report.getRole()),
            leader == null ? null : ((Endpoint) leader).name(),
            report.getTerm().getTerm(),
            LogEntryCodec.names(report.getCommittedMembers().getMembers()),
            LogEntryCodec.names(report.getCommittedMembers().getVotingMembers()),
            report.getLog().getCommitIndex(),
            report.getLog().getLastLogOrSnapshotIndex(),
            inactiveReason(report));
    if (!status.equals(before)) {
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

  /** This member's view of the group, as of the library's last report, 200 ms old at most. */
  public MemberStatus status() {
    return status;
  }

  /**
   * Proposes a command, if this member leads.
   *
   * @return the result, once a majority has the entry on disk; otherwise fails with {@link
   *     NotCommittedException}
   */
  public CompletionStage<CommandResult> propose(Proposal proposal) {
    CompletableFuture<CommandResult> result = new CompletableFuture<>();
    executor.execute(
        () -> {
          CommandResult before = stateMachine.state().retainedResult(proposal.id());
          if (before != null) {
            // Repeated after it was applied, so it is committed: no second entry.
            result.complete(before);
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
   * Reads the committed state, linearizably: it has every entry that was acknowledged before this
   * call. The leader asks a majority whether it still leads.
   *
   * @return the state; fails with {@link NotCommittedException} if this member does not lead
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
   * Changes the group, if this member leads.
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

  /** Completes a result with that of the library, or with a translated failure. */
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
   * The state as far as it is applied here, which may be behind the committed one. To be called on
   * the member's thread.
   */
  public ReplicatedState.Snapshot appliedState() {
    return stateMachine.state().snapshot();
  }

  /** The names of the members with whom the group began; one that joins needs them. */
  public List<String> initialMembers() {
    return LogEntryCodec.names(node.getInitialMembers().getMembers());
  }

  /** Ends its part in the group, asynchronously. The log store stays open. */
  @Override
  public void close() {
    executor.execute(
        () -> {
          isClosed = true;
          node.terminate();
        });
  }
}
