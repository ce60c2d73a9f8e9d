package shalepaddle.cluster;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.encoding.RaftMessageCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.MemberRole;
import shalepaddle.raft.MemberStatus;
import shalepaddle.raft.NotCommittedException;
import shalepaddle.raft.RaftMember;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.storage.RaftLogStore;
import shalepaddle.transport.ChangeFeedServer;
import shalepaddle.transport.MemberTransport;

/**
 * A member of a group that runs in this process. Requests are sent to the leader and repeated until
 * their timeout. Repetitions of a proposal have the same id, so that it takes effect only once and
 * a lost response is replaced by that of a later attempt.
 *
 * <p>Thread-safe once {@link #start} has returned; before that, {@link #listenForSubscribers} and
 * {@link #start} must be called from one thread. Futures complete on the member's thread or the
 * transport's event loop, so their dependent actions must not block. Futures may never complete
 * after {@link #close}. The member owns its log, thread and connections until it is closed.
 */
public final class GroupMember implements AutoCloseable {
  private static final int ENTRIES_BETWEEN_SNAPSHOTS = 10_000;

  private final MemberConfig config;
  private final Consumer<String> log;
  private final MemberThread thread;
  private final RaftLogStore logStore;
  private final MemberTransport transport;

  /** The Raft member, null until it has joined the group. */
  private volatile RaftMember raftMember;

  /**
   * The server of the change feed, null if this member does not listen for subscribers. Not changed
   * after {@link #start}.
   */
  private ChangeFeedServer feedServer;

  /**
   * Opens the member's folder and starts to listen for other members and clients. The member does
   * not participate in the group before {@link #start}.
   *
   * @param log receives log lines for operators, from any thread
   * @throws MemberFolderException if no member was created in the folder
   * @throws IOException if the log cannot be opened or the address cannot be bound; the message
   *     gives the reason
   */
  public GroupMember(MemberConfig config, Consumer<String> log) throws IOException {
    this.config = config;
    this.log = log;
    logStore = MemberFolder.open(config);
    logStore.recoveryWarnings().forEach(log);
    thread = new MemberThread(log);
    try {
      transport =
          new MemberTransport(
              config.group(),
              config.name(),
              config.listenAddress(),
              advertisedAddress(config),
              new MemberRequestHandler(this, log));
    } catch (IOException e) {
      logStore.close();
      throw e;
    }
    config.otherMembers().forEach(transport::setAddress);
  }

  /** The address at which others reach a member, as IP:PORT; empty if its configured port is 0. */
  private static String advertisedAddress(MemberConfig config) {
    InetSocketAddress address =
        config.advertisedAddress() == null ? config.listenAddress() : config.advertisedAddress();
    return address.getPort() == 0
        ? ""
        : address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Starts to listen for subscribers of the change feed. Must be called before {@link #start}.
   *
   * @return the address at which this member listens for subscribers
   * @throws IOException if the address cannot be bound
   */
  public InetSocketAddress listenForSubscribers(InetSocketAddress listenAddress)
      throws IOException {
    feedServer =
        new ChangeFeedServer(config.group(), listenAddress, thread, this::feedSnapshot, log);
    return feedServer.address();
  }

  private PublisherMessage.Snapshot feedSnapshot() {
    ReplicatedState.Snapshot snapshot = raftMember.appliedState();
    return new PublisherMessage.Snapshot(
        snapshot.index(), ReplicatedStateCodec.encodeSnapshot(snapshot));
  }

  /**
   * Passes each notification to another listener and then to the server of the change feed. Called
   * on the member's thread.
   */
  private final class PublishingListener implements RaftMember.Listener {
    private final RaftMember.Listener listener;

    PublishingListener(RaftMember.Listener listener) {
      this.listener = listener;
    }

    @Override
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult result) {
      listener.entryApplied(index, body, proposal, result);
      feedServer.entryApplied(index, body);
    }

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {
      listener.snapshotInstalled(snapshot);
      feedServer.snapshotInstalled(snapshot.index());
    }

    @Override
    public void statusChanged(MemberStatus status) {
      listener.statusChanged(status);
      feedServer.setLeaderKnown(status.leader() != null && status.isActive());
    }
  }

  /** The address at which this member listens for other members and clients. */
  public InetSocketAddress address() {
    return transport.address();
  }

  String name() {
    return config.name();
  }

  /** The Raft member, null while this member is joining the group. */
  RaftMember raftMember() {
    return raftMember;
  }

  /**
   * Starts to participate in the group. A new member first requests to join until it is added.
   *
   * @param listener receives notifications on the member's thread
   */
  public void start(RaftMember.Listener listener) {
    if (logStore.restoredState() != null) {
      startRaft(config.initialMembers().keySet(), listener);
      log.accept(
          "member %s of group %s starts from its stored log"
              .formatted(config.name(), config.group()));
      return;
    }
    log.accept("member " + config.name() + " requests to join group " + config.group());
    new JoinProcedure(
            config,
            thread,
            transport,
            this::status,
            initialMembers -> {
              log.accept("member " + config.name() + " has joined group " + config.group());
              startRaft(initialMembers, listener);
            })
        .start();
  }

  private void startRaft(Collection<String> initialMembers, RaftMember.Listener listener) {
    raftMember =
        new RaftMember(
            config.group(),
            config.name(),
            initialMembers,
            ENTRIES_BETWEEN_SNAPSHOTS,
            logStore,
            thread,
            (target, message) -> transport.send(target, RaftMessageCodec.encode(message)),
            System.nanoTime(),
            feedServer == null ? listener : new PublishingListener(listener));
    raftMember.start();
  }

  /** This member's view of its group. */
  public MemberStatus status() {
    RaftMember joinedMember = raftMember;
    return joinedMember == null
        ? MemberStatus.initialStatus(config.name(), MemberRole.JOINING)
        : joinedMember.status();
  }

  /**
   * Proposes a command to the leader, which may be this member or another.
   *
   * @param timeoutMillis the time within which the result must be available
   * @return the result, once a majority has the entry on disk; otherwise fails with {@link
   *     NotCommittedException}
   */
  public CompletionStage<CommandResult> propose(Proposal proposal, long timeoutMillis) {
    return new LeaderRequest<>(
            GroupRequest.PROPOSE,
            ReplicatedStateCodec.encodeProposal(proposal),
            ReplicatedStateCodec::decodeResult,
            () -> raftMember.propose(proposal),
            this::status,
            thread,
            transport)
        .send(timeoutMillis);
  }

  /**
   * Reads the committed state, linearizably: it includes every entry that was acknowledged before
   * this call.
   *
   * @param timeoutMillis the time within which the state must be available
   * @return the state; fails with {@link NotCommittedException} if no leader returns it in time
   */
  public CompletionStage<ReplicatedState.Snapshot> read(long timeoutMillis) {
    return new LeaderRequest<>(
            GroupRequest.READ,
            new byte[0],
            ReplicatedStateCodec::decodeSnapshot,
            () -> raftMember.read(),
            this::status,
            thread,
            transport)
        .send(timeoutMillis);
  }

  /**
   * Stops the member. Blocks until its threads have terminated, for at most 1 s each. Tasks that
   * wait for the member's thread are dropped, and their futures do not complete.
   */
  @Override
  public void close() throws IOException {
    if (feedServer != null) {
      feedServer.close();
    }
    transport.close();
    if (raftMember != null) {
      raftMember.close();
    }
    thread.close();
    logStore.close();
  }
}
