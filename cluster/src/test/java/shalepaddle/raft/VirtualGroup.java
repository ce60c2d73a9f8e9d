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
 * The members of a group in virtual time, in one thread: messages go as bytes over links that lose,
 * delay and duplicate them or are cut in one direction; machines crash at any moment, with or
 * without their disks. Reproducible by seed.
 */
final class VirtualGroup {
  static final long MILLI = 1_000_000;

  private record ScheduledTask(long atNanos, long number, Runnable task) {}

  /** A machine, its disk, and the member that runs on it. */
  final class Machine implements MemberExecutor, RaftMember.Listener {
    final String name;
    final List<String> initialMembers;
    CrashingLogDirectory directory = new CrashingLogDirectory();
    RaftMember member;
    RaftLogStore logStore;
    int incarnation;
    long pausedUntil;
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
      LogDirectory wrapped = directoryWrapper.apply(directory);
      logStore = new RaftLogStore(wrapped, "g", name);
      member =
          new RaftMember(
              "g",
              name,
              initialMembers,
              entriesBetweenSnapshots,
              logStore,
              this,
              (to, message) -> transmit(this, to, message),
              random.nextLong(),
              this);
      member.start();
    }

    /** Stops at once; a part of what was not synced may survive. */
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
    public void schedule(long nanos, Runnable task) {
      int scheduledIn = incarnation;
      scheduleAt(
          now + nanos,
          new Runnable() {
            @Override
            public void run() {
              if (incarnation != scheduledIn) {
                return;
              }
              if (pausedUntil > now) {
                scheduleAt(pausedUntil, this);
              } else {
                task.run();
              }
            }
          });
    }

    @Override
    public long nanoTime() {
      return now;
    }

    @Override
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult result) {
      String before = appliedIds.putIfAbsent(index, proposal.id());
      if (before != null && !before.equals(proposal.id())) {
        throw new AssertionError(
            "entry " + index + " is " + before + " and, at " + name + ", " + proposal.id());
      }
      if (index <= appliedIndex) {
        throw new AssertionError(name + " applies " + index + " after " + appliedIndex);
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
        String before = leaderByTerm.putIfAbsent(status.term(), name);
        if (before != null && !before.equals(name)) {
          throw new AssertionError(before + " and " + name + " both lead term " + status.term());
        }
      }
    }
  }

  private final PriorityQueue<ScheduledTask> scheduledTasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::atNanos)
              .thenComparingLong(ScheduledTask::number));
  private long taskCount;
  long now;
  final SplittableRandom random;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final Map<Long, String> appliedIds = new HashMap<>();
  final Map<Integer, String> leaderByTerm = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  double lossRatio;
  int entriesBetweenSnapshots = 50;

  /** Put in front of each machine's directory. */
  UnaryOperator<LogDirectory> directoryWrapper = disk -> disk;

  VirtualGroup(long seed) {
    random = new SplittableRandom(seed);
  }

  void scheduleAt(long time, Runnable task) {
    scheduledTasks.add(new ScheduledTask(time, taskCount++, task));
  }

  /** Advances the time, and runs what is due. */
  void advance(long millis) {
    long until = now + millis * MILLI;
    while (!scheduledTasks.isEmpty() && scheduledTasks.peek().atNanos() <= until) {
      ScheduledTask task = scheduledTasks.poll();
      now = Math.max(now, task.atNanos());
      task.task().run();
    }
    now = until;
  }

  Machine startMachine(String name, List<String> initialMembers) throws IOException {
    Machine machine = new Machine(name, initialMembers);
    machines.put(name, machine);
    machine.start();
    return machine;
  }

  /** Starts the machines with which the group begins. */
  VirtualGroup startGroup(int size) throws IOException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      names.add("m" + i);
    }
    for (String name : names) {
      startMachine(name, names);
    }
    return this;
  }

  /** Whether messages in this direction are lost from now on. */
  void cut(String from, String to, boolean lost) {
    if (lost) {
      cut.add(from + ">" + to);
    } else {
      cut.remove(from + ">" + to);
    }
  }

  void heal() {
    cut.clear();
    lossRatio = 0;
  }

  private void transmit(Machine from, String to, RaftMessage message) {
    if (cut.contains(from.name + ">" + to) || random.nextDouble() < lossRatio) {
      return;
    }
    byte[] bytes = RaftMessageCodec.encode(message);
    int times = random.nextDouble() < lossRatio / 4 ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long delay =
          MILLI / 10
              + random.nextLong(MILLI)
              + (random.nextDouble() < lossRatio ? random.nextLong(300 * MILLI) : 0);
      scheduleAt(now + delay, () -> deliver(to, bytes));
    }
  }

  private void deliver(String to, byte[] bytes) {
    Machine machine = machines.get(to);
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
