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
 * Members of a group in virtual time, in one thread: messages go as bytes over links that lose,
 * delay and cut one way; machines stop anywhere, with or without their disks. The same seed gives
 * the same run.
 */
final class VirtualGroup {
  static final long MILLI = 1_000_000;

  /** Something that is due. */
  private record Due(long at, long number, Runnable task) {}

  /** One machine, and who lives on it now. */
  final class Machine implements MemberExecutor, RaftMember.Listener {
    final String name;
    final List<String> first;
    CrashingLogDirectory disk = new CrashingLogDirectory();
    RaftMember agreement;
    RaftLogStore journal;
    int life;
    long heldUntil;
    long appliedTo;

    Machine(String name, List<String> first) {
      this.name = name;
      this.first = first;
    }

    boolean up() {
      return agreement != null;
    }

    void start() throws IOException {
      life++;
      appliedTo = 0;
      LogDirectory own = wrap.apply(disk);
      journal = new RaftLogStore(own, "g", name);
      agreement =
          new RaftMember(
              "g",
              name,
              first,
              snapshotEvery,
              journal,
              this,
              (to, message) -> carry(this, to, message),
              random.nextLong(),
              this);
      agreement.start();
    }

    /** The machine stops at once; a part of what was not forced may be there when it comes back. */
    void crash() {
      life++;
      agreement = null;
      disk = disk.afterCrash(random.nextDouble());
    }

    @Override
    public void execute(Runnable task) {
      schedule(0, task);
    }

    @Override
    public void schedule(long nanos, Runnable task) {
      int mine = life;
      at(
          now + nanos,
          new Runnable() {
            @Override
            public void run() {
              if (life != mine) {
                return;
              }
              if (heldUntil > now) {
                at(heldUntil, this);
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
    public void entryApplied(long index, byte[] body, Proposal proposal, CommandResult answer) {
      String before = log.putIfAbsent(index, proposal.id());
      if (before != null && !before.equals(proposal.id())) {
        throw new AssertionError(
            "entry " + index + " is " + before + " and, at " + name + ", " + proposal.id());
      }
      if (index <= appliedTo) {
        throw new AssertionError(name + " applies " + index + " after " + appliedTo);
      }
      appliedTo = index;
    }

    @Override
    public void snapshotInstalled(ReplicatedState.Snapshot image) {
      appliedTo = image.index();
    }

    @Override
    public void statusChanged(MemberStatus standing) {
      if (standing.isLeader()) {
        String before = leaders.putIfAbsent(standing.term(), name);
        if (before != null && !before.equals(name)) {
          throw new AssertionError(before + " and " + name + " both lead term " + standing.term());
        }
      }
    }
  }

  private final PriorityQueue<Due> due =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::number));
  private long number;
  long now;
  final SplittableRandom random;
  final Map<String, Machine> machines = new LinkedHashMap<>();
  final Map<Long, String> log = new HashMap<>();
  final Map<Integer, String> leaders = new HashMap<>();
  private final Set<String> cut = new HashSet<>();
  double loss;
  int snapshotEvery = 50;

  /** What is put before each machine's disk. */
  UnaryOperator<LogDirectory> wrap = disk -> disk;

  VirtualGroup(long seed) {
    random = new SplittableRandom(seed);
  }

  void at(long time, Runnable task) {
    due.add(new Due(time, number++, task));
  }

  /** Lets so much time pass. */
  void pass(long millis) {
    long until = now + millis * MILLI;
    while (!due.isEmpty() && due.peek().at() <= until) {
      Due next = due.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = until;
  }

  Machine add(String name, List<String> first) throws IOException {
    Machine machine = new Machine(name, first);
    machines.put(name, machine);
    machine.start();
    return machine;
  }

  /** So many machines that begin a group. */
  VirtualGroup begin(int size) throws IOException {
    List<String> names = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      names.add("m" + i);
    }
    for (String name : names) {
      add(name, names);
    }
    return this;
  }

  /** Messages from one to the other are lost from now on, or come again. */
  void cut(String from, String to, boolean lost) {
    if (lost) {
      cut.add(from + ">" + to);
    } else {
      cut.remove(from + ">" + to);
    }
  }

  void heal() {
    cut.clear();
    loss = 0;
  }

  private void carry(Machine from, String to, RaftMessage message) {
    if (cut.contains(from.name + ">" + to) || random.nextDouble() < loss) {
      return;
    }
    byte[] bytes = RaftMessageCodec.message(message);
    int times = random.nextDouble() < loss / 4 ? 2 : 1;
    for (int i = 0; i < times; i++) {
      long delay =
          MILLI / 10
              + random.nextLong(MILLI)
              + (random.nextDouble() < loss ? random.nextLong(300 * MILLI) : 0);
      at(now + delay, () -> arrive(to, bytes));
    }
  }

  private void arrive(String to, byte[] bytes) {
    Machine machine = machines.get(to);
    if (machine == null || !machine.up()) {
      return;
    }
    machine.execute(
        () -> {
          try {
            machine.agreement.handle(RaftMessageCodec.message(bytes));
          } catch (IOException e) {
            throw new AssertionError(e);
          }
        });
  }

  /** Who leads, as the one of the highest term sees it; null for nobody. */
  Machine leader() {
    return machines.values().stream()
        .filter(machine -> machine.up() && machine.agreement.status().isLeader())
        .max(Comparator.comparingInt(machine -> machine.agreement.status().term()))
        .orElse(null);
  }
}
