package shalepaddle.raft;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.UnaryOperator;
import shalepaddle.encoding.RaftMessageCodec;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.storage.CrashingLogDirectory;
import shalepaddle.storage.LogDirectory;
import shalepaddle.storage.RaftLogStore;

/**
 * Runs the members of a group in virtual time on one thread. Messages are encoded and sent over
 * links that lose, delay and duplicate them, or are cut in one direction. Machines can crash at any
 * time, and tests can replace their disks. A run is reproducible by its seed.
 */
final class VirtualGroup {
  static final long NANOS_PER_MILLI = 1_000_000;

  /** A task with its due time. Tasks due at the same time run in order of sequence number. */
  private record ScheduledTask(long dueNanos, long sequenceNumber, Runnable task) {}

  /** A machine with its disk and the member that runs on it. */
  final class Machine implements MemberExecutor, RaftMember.Listener {
    final String name;
    final List<String> initialMembers;
    CrashingLogDirectory directory = new CrashingLogDirectory();
    RaftMember member;
    RaftLogStore logStore;
    int incarnation;
    long pausedUntilNanos;
    long appliedIndex;

    Machine(String name, List<String> initialMembers) {
      this.name = name;
      this.initialMembers = initialMembers;
    }

    boolean isUp() {
      return member != null;
    }

    void start() throws IOException {
      incarnation++;
      appliedIndex = 0;
      LogDirectory wrappedDirectory = directoryWrapper.apply(directory);
      logStore = new RaftLogStore(wrappedDirectory, "g", name);
      member =
          new RaftMember(
              "g",
              name,
              initialMembers,
              entriesBetweenSnapshots,
              logStore,
              this,
              (targetName, message) -> transmit(this, targetName, message),
              random.nextLong(),
              this);
      member.start();
    }

    /** Stops the machine immediately; a random part of the unsynced writes survives. */
    void crash() {
      incarnation++;
      member = null;
      directory = directory.afterCrash(random.nextDouble());
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public void schedule(long delayNanos, Runnable task) {
      int scheduledIncarnation = incarnation;
      scheduleAt(
          nowNanos + delayNanos,
          new Runnable() {
            @Override
            public void run() {
              if (incarnation != scheduledIncarnation) {
                return;
              }
              if (pausedUntilNanos > nowNanos) {
                scheduleAt(pausedUntilNanos, this);
              } else {
                task.run();
              }
            }
          });
    }

    @Override
    public long nanoTime() {
      return nowNanos;
    }

    @Override
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult result) {
      String earlierId = appliedProposalIds.putIfAbsent(index, proposal.id());
      if (earlierId != null && !earlierId.equals(proposal.id())) {
        throw new AssertionError(
            "entry "
                + index
                + " is "
                + proposal.id()
                + " at "
                + name
                + ", but was applied before as "
                + earlierId);
      }
      if (index <= appliedIndex) {
        throw new AssertionError(name + " applied index " + index + " after index " + appliedIndex);
      }
      appliedIndex = index;
    }

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {
      appliedIndex = snapshot.index();
    }

    @Override
    public void statusChanged(MemberStatus status) {
      if (status.isLeader()) {
        String earlierLeader = leaderByTerm.putIfAbsent(status.term(), name);
        if (earlierLeader != null && !earlierLeader.equals(name)) {
          throw new AssertionError(
              earlierLeader + " and " + name + " are both leaders in term " + status.term());
        }
      }
    }
  }

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::dueNanos)
              .thenComparingLong(ScheduledTask::sequenceNumber));
  private long taskCount;
  long nowNanos;
  final SplittableRandom random;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final Map<Long, String> appliedProposalIds = new HashMap<>();
  final Map<Integer, String> leaderByTerm = new HashMap<>();
  private final Set<String> cutLinks = new HashSet<>();
  double lossRatio;
  int entriesBetweenSnapshots = 50;

  /** Wraps each machine's directory when the machine starts. */
  UnaryOperator<LogDirectory> directoryWrapper = disk -> disk;

  VirtualGroup(long seed) {
    random = new SplittableRandom(seed);
  }

  void scheduleAt(long dueNanos, Runnable task) {
    scheduledTasks.add(new ScheduledTask(dueNanos, taskCount++, task));
  }

  /** Advances the virtual time, and runs the tasks that become due. */
  void advance(long durationMillis) {
    long endNanos = nowNanos + durationMillis * NANOS_PER_MILLI;
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().dueNanos() <= endNanos) {
      ScheduledTask task = scheduledTasks.poll();
      nowNanos = Math.max(nowNanos, task.dueNanos());
      task.task().run();
    }
    nowNanos = endNanos;
  }

  Machine startMachine(String name, List<String> initialMembers) throws IOException {
    Machine machine = new Machine(name, initialMembers);
    machines.put(name, machine);
    machine.start();
    return machine;
  }

  /** Starts the given number of initial members. */
  VirtualGroup startGroup(int memberCount) throws IOException {
    List<String> memberNames = new ArrayList<>();
    for (int i = 0; i < memberCount; i++) {
      memberNames.add("m" + i);
    }
    for (String name : memberNames) {
      startMachine(name, memberNames);
    }
    return this;
  }

  /** Cuts or restores a link in one direction; all messages over a cut link are lost. */
  void setLinkCut(String sourceName, String targetName, boolean isCut) {
    if (isCut) {
      cutLinks.add(sourceName + ">" + targetName);
    } else {
      cutLinks.remove(sourceName + ">" + targetName);
    }
  }

  void heal() {
    cutLinks.clear();
    lossRatio = 0;
  }

  private void transmit(Machine source, String targetName, RaftMessage message) {
    if (cutLinks.contains(source.name + ">" + targetName) || random.nextDouble() < lossRatio) {
      return;
    }
    byte[] bytes = RaftMessageCodec.encode(message);
    int copyCount = random.nextDouble() < lossRatio / 4 ? 2 : 1;
    for (int i = 0; i < copyCount; i++) {
      long delayNanos =
          NANOS_PER_MILLI / 10
              + random.nextLong(NANOS_PER_MILLI)
              + (random.nextDouble() < lossRatio ? random.nextLong(300 * NANOS_PER_MILLI) : 0);
      scheduleAt(nowNanos + delayNanos, () -> deliver(targetName, bytes));
    }
  }

  private void deliver(String targetName, byte[] bytes) {
    Machine machine = machines.get(targetName);
    if (machine == null || !machine.isUp()) {
      return;
    }
    machine.execute(
        () -> {
          try {
            machine.member.handle(RaftMessageCodec.decode(bytes));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  /** The leader of the highest term, null for none. */
  Machine leader() {
    return machines.values().stream()
        .filter(machine -> machine.isUp() && machine.member.status().isLeader())
        .max(Comparator.comparingInt(machine -> machine.member.status().term()))
        .orElse(null);
  }
}
