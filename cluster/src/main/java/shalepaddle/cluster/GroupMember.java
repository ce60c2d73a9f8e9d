package shalepaddle.cluster;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.encoding.RaftMessageCodec;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.MemberRole;
import shalepaddle.raft.MemberStatus;
import shalepaddle.raft.NotCommittedException;
import shalepaddle.raft.NotCommittedException.Outcome;
import shalepaddle.raft.RaftMember;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.storage.FileLogDirectory;
import shalepaddle.storage.LogOwner;
import shalepaddle.storage.RaftLogStore;
import shalepaddle.transport.ChangeFeedServer;
import shalepaddle.transport.HandshakeRejectedException;
import shalepaddle.transport.MemberTransport;

/**
 * One member of a group, as a process has it. What is asked of it goes to whoever leads, again and
 * under the same id for as long as the caller waits; so an answer that was lost on the way comes
 * the second time.
 *
 * <p>A member begins in one of two ways, each once: {@link #init} for those with whom the group
 * begins, {@link #join} for all others. A folder that is empty is neither: a machine that lost its
 * disk must not vote under its old name, since it may have voted before.
 *
 * <p>Thread-safe.
 */
public final class GroupMember implements AutoCloseable {
  /** What may be asked of a member over its links. */
  static final String HOLD = "hold";

  static final String READ = "read";
  static final String STANDING = "standing";
  static final String JOIN = "join";
  static final String VOTE = "vote";
  static final String REMOVE = "remove";

  /** Before the same is asked again, where nobody could answer. */
  private static final long AGAIN_MILLIS = 40;

  /** How long another member may take with an answer, before it is asked again. */
  private static final long ASK_MILLIS = 500;

  /** Entries between two snapshots. */
  private static final int SNAPSHOT_EVERY = 10_000;

  private final MemberConfig place;
  private final Consumer<String> log;
  private final MemberThread turns;
  private final RaftLogStore journal;
  private final MemberTransport links;
  private volatile RaftMember agreement;

  /** Null where no node follows this member. */
  private ChangeFeedServer listenForSubscribers;

  /**
   * Opens the member's folder and listens; {@link #start} takes part.
   *
   * @throws IOException if the folder can't be had or believed, or is none that was begun, or the
   *     address is taken; with the remedy
   */
  public GroupMember(MemberConfig place, Consumer<String> log) throws IOException {
    this.place = place;
    this.log = log;
    FileLogDirectory disk = new FileLogDirectory(place.folder());
    RaftLogStore opened = null;
    try {
      if (RaftLogStore.readOwner(disk).isEmpty()) {
        throw new IOException(
            place.folder()
                + " holds no member: begin it with init where the group begins, and with join, under a"
                + " name that was never used, where a machine is new or has lost its disk");
      }
      opened = new RaftLogStore(disk, place.group(), place.name());
      journal = opened;
      opened.recoveryWarnings().forEach(log);
      turns = new MemberThread(log);
      links =
          new MemberTransport(
              place.group(), place.name(), place.listen(), advertised(place), new Incoming());
    } catch (IOException e) {
      disk.close();
      throw e;
    }
    place.others().forEach(links::setAddress);
  }

  private static String advertised(MemberConfig place) {
    InetSocketAddress found = place.advertised() == null ? place.listen() : place.advertised();
    return found.getPort() == 0 ? "" : text(found);
  }

  private static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Makes the folder of a member with whom a group begins.
   *
   * @throws IOException if there is a member in it already
   */
  public static void init(MemberConfig place) throws IOException {
    begin(place.beginning(), true);
  }

  /** Makes the folder of a member that joins a group that is there. */
  public static void join(MemberConfig place) throws IOException {
    if (place.members().containsKey(place.name())) {
      throw new IOException(
          "'%s' is one of those with whom the group began, and may have voted: join under a new name"
              .formatted(place.name()));
    }
    begin(place, false);
  }

  private static void begin(MemberConfig place, boolean first) throws IOException {
    FileLogDirectory disk = new FileLogDirectory(place.folder());
    try {
      Optional<LogOwner> owner = RaftLogStore.readOwner(disk);
      if (owner.isPresent()) {
        throw new IOException(
            "%s holds member '%s' of group '%s' already: nothing was changed"
                .formatted(place.folder(), owner.get().member(), owner.get().group()));
      }
      RaftLogStore journal = new RaftLogStore(disk, place.group(), place.name());
      if (first) {
        journal.initializeGroup(place.members().keySet());
      }
    } finally {
      disk.close();
    }
  }

  /**
   * Lets nodes follow this member; to be called before {@link #start}.
   *
   * @return where it listens for them
   * @throws IOException if it can not listen there
   */
  public InetSocketAddress listenForSubscribers(InetSocketAddress listen) throws IOException {
    listenForSubscribers = new ChangeFeedServer(place.group(), listen, turns, this::state, log);
    return listenForSubscribers.address();
  }

  private PublisherMessage.Snapshot state() {
    ReplicatedState.Snapshot image = agreement.appliedState();
    return new PublisherMessage.Snapshot(image.index(), ReplicatedStateCodec.encodeSnapshot(image));
  }

  private RaftMember.Listener fed(RaftMember.Listener listener) {
    if (listenForSubscribers == null) {
      return listener;
    }
    return new RaftMember.Listener() {
      @Override
      public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult answer) {
        listener.entryApplied(index, body, proposal, answer);
        listenForSubscribers.entryApplied(index, body);
      }

      @Override
      public void snapshotInstalled(ReplicatedState.Snapshot image) {
        listener.snapshotInstalled(image);
        listenForSubscribers.snapshotInstalled(image.index());
      }

      @Override
      public void statusChanged(MemberStatus now) {
        listener.statusChanged(now);
        listenForSubscribers.setLeaderKnown(now.leader() != null && now.inactiveReason() == null);
      }
    };
  }

  /** Where it listens. */
  public InetSocketAddress address() {
    return links.address();
  }

  /**
   * Takes part from now on. A member that joins first asks the others, until one of them answers.
   *
   * @param listener is told on the member's thread
   */
  public void start(RaftMember.Listener listener) {
    if (journal.restoredState() != null) {
      agree(place.members().keySet(), listener);
      log.accept("member " + place.name() + " of " + place.group() + " goes on");
      return;
    }
    log.accept("member " + place.name() + " asks to join " + place.group());
    askToJoin(listener);
  }

  private void agree(Collection<String> began, RaftMember.Listener listener) {
    agreement =
        new RaftMember(
            place.group(),
            place.name(),
            began,
            SNAPSHOT_EVERY,
            journal,
            turns,
            (to, message) -> links.send(to, RaftMessageCodec.encode(message)),
            System.nanoTime(),
            fed(listener));
    agreement.start();
  }

  private void askToJoin(RaftMember.Listener listener) {
    CompletableFuture<byte[]> first = new CompletableFuture<>();
    for (String other : place.others().keySet()) {
      links
          .request(other, JOIN, place.name().getBytes(StandardCharsets.UTF_8), 4 * ASK_MILLIS)
          .thenAccept(first::complete);
    }
    turns.schedule(
        TimeUnit.MILLISECONDS.toNanos(4 * ASK_MILLIS),
        () -> first.completeExceptionally(new IOException("nobody answers")));
    first.whenComplete(
        (began, cause) ->
            turns.execute(
                () -> {
                  if (cause != null) {
                    askToJoin(listener);
                    return;
                  }
                  log.accept("member " + place.name() + " has joined");
                  agree(List.of(new String(began, StandardCharsets.UTF_8).split(" ")), listener);
                  askForVote();
                }));
  }

  /** A member that has joined hears all; it asks for its vote until it has one. */
  private void askForVote() {
    MemberStatus standing = status();
    if (standing.votingMembers().contains(place.name())) {
      return;
    }
    if (standing.leader() != null) {
      links.request(
          standing.leader(), VOTE, place.name().getBytes(StandardCharsets.UTF_8), ASK_MILLIS);
    }
    turns.schedule(TimeUnit.MILLISECONDS.toNanos(ASK_MILLIS), this::askForVote);
  }

  /** How the group stands, as this member sees it. */
  public MemberStatus status() {
    RaftMember now = agreement;
    return now == null ? MemberStatus.initial(place.name(), MemberRole.JOINING) : now.status();
  }

  /**
   * Asks the group to hold this, whoever leads.
   *
   * @param millis how long the caller waits
   * @return the answer, once a majority has it on disk; else fails with {@link
   *     NotCommittedException}
   */
  public CompletionStage<CommandResult> propose(Proposal proposal, long millis) {
    return new Asking<CommandResult>(
            HOLD,
            ReplicatedStateCodec.encodeProposal(proposal),
            ReplicatedStateCodec::decodeResult,
            () -> agreement.propose(proposal),
            millis)
        .begin();
  }

  /** What is held at this moment: whoever was answered before this call finds it here. */
  public CompletionStage<ReplicatedState.Snapshot> read(long millis) {
    return new Asking<ReplicatedState.Snapshot>(
            READ, new byte[0], ReplicatedStateCodec::decodeSnapshot, () -> agreement.read(), millis)
        .begin();
  }

  private interface Parse<T> {
    T read(byte[] bytes) throws IOException;
  }

  /** One question, asked here or of whoever leads until it is answered or its time is up. */
  private final class Asking<T> {
    private final String what;
    private final byte[] body;
    private final Parse<T> parse;
    private final Supplier<CompletionStage<T>> here;
    private final long until;
    private final CompletableFuture<T> answer = new CompletableFuture<>();

    /** Whether it may have been held by somebody whose answer did not come. */
    private boolean maybe;

    Asking(
        String what, byte[] body, Parse<T> parse, Supplier<CompletionStage<T>> here, long millis) {
      this.what = what;
      this.body = body;
      this.parse = parse;
      this.here = here;
      until = turns.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }

    CompletionStage<T> begin() {
      turns.execute(this::ask);
      return answer;
    }

    private void ask() {
      long left = TimeUnit.NANOSECONDS.toMillis(until - turns.nanoTime());
      if (left <= 0) {
        answer.completeExceptionally(
            new NotCommittedException(
                maybe ? Outcome.INDETERMINATE : Outcome.REJECTED,
                "the group has no majority in contact"));
        return;
      }
      MemberStatus standing = status();
      if (standing.isLeader()) {
        here.get().whenComplete(this::came);
      } else if (standing.leader() != null) {
        links
            .request(standing.leader(), what, body, Math.min(left, ASK_MILLIS))
            .thenApply(this::parsed)
            .whenComplete(this::came);
      } else {
        later();
      }
    }

    private T parsed(byte[] bytes) {
      try {
        return parse.read(bytes);
      } catch (IOException e) {
        throw new CompletionException(e);
      }
    }

    private void came(T value, Throwable cause) {
      if (cause == null) {
        answer.complete(value);
        return;
      }
      Throwable root = cause instanceof CompletionException ? cause.getCause() : cause;
      boolean never =
          root instanceof NotCommittedException held
              ? held.outcome() == Outcome.REJECTED
              : root instanceof HandshakeRejectedException down
                  && down.getMessage().startsWith("never");
      turns.execute(
          () -> {
            maybe |= !never;
            later();
          });
    }

    private void later() {
      turns.schedule(TimeUnit.MILLISECONDS.toNanos(AGAIN_MILLIS), this::ask);
    }
  }

  /** What comes from others. */
  private final class Incoming implements MemberTransport.Listener {
    @Override
    public void raftMessage(byte[] message) {
      RaftMember now = agreement;
      if (now == null) {
        return;
      }
      RaftMessage read;
      try {
        read = RaftMessageCodec.decode(message);
      } catch (IOException e) {
        log.accept("a message is passed over: " + e.getMessage());
        return;
      }
      now.handle(read);
    }

    @Override
    public CompletionStage<byte[]> request(String what, byte[] body) {
      RaftMember now = agreement;
      if (what.equals(STANDING)) {
        return CompletableFuture.completedFuture(MemberStatusCodec.encode(status()));
      }
      if (now == null) {
        return CompletableFuture.failedFuture(
            new IOException("never: " + place.name() + " is still joining"));
      }
      try {
        return switch (what) {
          case HOLD ->
              told(
                  here(ReplicatedStateCodec.decodeProposal(body), now)
                      .thenApply(ReplicatedStateCodec::encodeResult));
          case READ -> told(read(now).thenApply(ReplicatedStateCodec::encodeSnapshot));
          case JOIN -> joins(now, new String(body, StandardCharsets.UTF_8));
          case VOTE ->
              told(
                  now.changeMembership(
                          new String(body, StandardCharsets.UTF_8),
                          RaftMember.MembershipChange.PROMOTE_TO_VOTER)
                      .thenApply(done -> new byte[0]));
          case REMOVE ->
              told(
                  now.changeMembership(
                          new String(body, StandardCharsets.UTF_8),
                          RaftMember.MembershipChange.REMOVE)
                      .thenApply(done -> new byte[0]));
          default ->
              CompletableFuture.failedFuture(
                  new IOException("never: no question is '" + what + "'"));
        };
      } catch (IOException | IllegalArgumentException e) {
        return CompletableFuture.failedFuture(new IOException("never: " + e.getMessage()));
      }
    }

    /** Whoever does not lead passes on what a caller from outside asks; members ask the leader. */
    private CompletionStage<CommandResult> here(Proposal proposal, RaftMember now) {
      return now.status().isLeader() ? now.propose(proposal) : propose(proposal, ASK_MILLIS);
    }

    private CompletionStage<ReplicatedState.Snapshot> read(RaftMember now) {
      return now.status().isLeader() ? now.read() : GroupMember.this.read(ASK_MILLIS);
    }

    private CompletionStage<byte[]> joins(RaftMember now, String name) {
      byte[] began = String.join(" ", now.initialMembers()).getBytes(StandardCharsets.UTF_8);
      if (now.status().members().contains(name)) {
        return CompletableFuture.completedFuture(began);
      }
      if (!now.status().isLeader()) {
        return CompletableFuture.failedFuture(
            new IOException("never: " + place.name() + " does not lead"));
      }
      return told(
          now.changeMembership(name, RaftMember.MembershipChange.ADD_LEARNER)
              .thenApply(done -> began));
    }

    /** A failure tells at its begin whether it can have been held. */
    private static <T> CompletionStage<T> told(CompletionStage<T> answer) {
      return answer.handle(
          (value, cause) -> {
            if (cause == null) {
              return value;
            }
            Throwable root = cause instanceof CompletionException ? cause.getCause() : cause;
            boolean never =
                root instanceof NotCommittedException held && held.outcome() == Outcome.REJECTED;
            throw new CompletionException(
                new IOException((never ? "never: " : "maybe: ") + root.getMessage()));
          });
    }

    @Override
    public void diagnostic(String text) {
      log.accept(text);
    }
  }

  /** Takes no part any more. */
  @Override
  public void close() throws IOException {
    if (listenForSubscribers != null) {
      listenForSubscribers.close();
    }
    links.close();
    if (agreement != null) {
      agreement.close();
    }
    turns.close();
    journal.close();
  }
}
