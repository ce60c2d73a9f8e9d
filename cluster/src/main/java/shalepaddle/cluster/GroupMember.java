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
 * A member of a group that runs in this process. Requests go to the leader and are repeated under
 * the same id for as long as the caller waits, so that a lost answer comes the second time.
 *
 * <p>Thread-safe once {@link #start} has returned; before, {@link #listenForSubscribers} and {@link
 * #start} must be called from one thread. Futures complete on the member's thread or the
 * transport's event loop, so what depends on them must not block; a future may never complete after
 * {@link #close}. Owns its log, thread and connections until then.
 */
public final class GroupMember implements AutoCloseable {
  private static final int ENTRIES_BETWEEN_SNAPSHOTS = 10_000;

  private final MemberConfig config;
  private final Consumer<String> log;
  private final MemberThread thread;
  private final RaftLogStore logStore;
  private final MemberTransport transport;

  /** Null until the member is part of the group. */
  private volatile RaftMember raftMember;

  /** Null where there are no subscribers. Not changed after {@link #start}. */
  private ChangeFeedServer feedServer;

  /**
   * Opens the member's folder and listens; {@link #start} takes part.
   *
   * @param log takes lines for operators, from any thread
   * @throws MemberFolderException if no member was created in the folder
   * @throws IOException if the log can't be opened or the address is taken; with the remedy
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

  /** Where the others find a member, as IP:PORT; empty if it listens on any port. */
  private static String advertisedAddress(MemberConfig config) {
    InetSocketAddress address =
        config.advertisedAddress() == null ? config.listenAddress() : config.advertisedAddress();
    return address.getPort() == 0
        ? ""
        : address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Listens for subscribers of the change feed; to be called before {@link #start}.
   *
   * @return where it listens
   * @throws IOException if it can't listen at the address
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

  /** Notifies a listener, then the subscribers of the change feed, on the member's thread. */
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

  /** Where it listens for the others. */
  public InetSocketAddress address() {
    return transport.address();
  }

  String name() {
    return config.name();
  }

  /** Its part in Raft, null while it is joining. */
  RaftMember raftMember() {
    return raftMember;
  }

  /**
   * Starts to take part. A new member first asks to join, until the leader answers.
   *
   * @param listener is notified on the member's thread
   */
  public void start(RaftMember.Listener listener) {
    if (logStore.restoredState() != null) {
      startRaft(config.initialMembers().keySet(), listener);
      log.accept("member " + config.name() + " of " + config.group() + " goes on");
      return;
    }
    log.accept("member " + config.name() + " asks to join " + config.group());
    new JoinProcedure(
            config,
            thread,
            transport,
            this::status,
            initialMembers -> {
              log.accept("member " + config.name() + " has joined");
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
    RaftMember current = raftMember;
    return current == null
        ? MemberStatus.initial(config.name(), MemberRole.JOINING)
        : current.status();
  }

  /**
   * Proposes a command to the leader, whichever member that is.
   *
   * @param timeoutMillis for the result
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
   * Reads the committed state, linearizably: it has every entry that was acknowledged before this
   * call.
   *
   * @param timeoutMillis for the state
   * @return the state; fails with {@link NotCommittedException}
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
   * Ends its part in the group. Blocks until its threads have ended, 1 s each at most. Tasks that
   * wait for the member's thread are dropped, and their futures don't complete.
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
