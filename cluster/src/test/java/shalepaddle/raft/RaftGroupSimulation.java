package shalepaddle.raft;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletionException;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;
import shalepaddle.storage.CrashingLogDirectory;
import shalepaddle.storage.SilentlyFailingLogDirectory;
import shalepaddle.storage.UnsyncedLogDirectory;

/**
 * A day of a group by a seed: callers who ask for promises and read them, while machines stop,
 * pause and lose their disks, and links lose, delay and are cut, one way or both. Ends with all
 * healed and tells what was broken.
 */
final class RaftGroupSimulation {
  /** How the day is broken on purpose. */
  enum Variant {
    /** It is not. */
    SOUND,
    /** It is not, and disks fail for a while. */
    FAILING_DISKS,
    /** Disks fail for a while, and whoever forces a file is not told. */
    UNTOLD_FAILURES,
    /** A force returns before anything is on the disk. */
    NO_FORCE,
    /** A machine that lost its disk comes back under its old name. */
    OLD_NAME,
    /** A caller hears yes as soon as the leader has taken its proposal. */
    EARLY_YES,
    /** A read is answered from what the asked machine has. */
    STALE_READ
  }

  private static final long DAY_MILLIS = 20_000;
  private static final long PATIENCE_MILLIS = 700;
  private static final int CALLERS = 4;

  private final VirtualGroup group;
  private final SplittableRandom random;
  private final Variant variant;
  private final int size;
  private final List<String> broken = new ArrayList<>();
  private final Map<String, Proposal> asked = new HashMap<>();
  private final Map<String, Long> yes = new HashMap<>();
  private long highestYes;
  private int reads;
  private int machinesEver;
  private boolean replacing;
  private boolean over;

  RaftGroupSimulation(long seed, Variant variant) {
    this.variant = variant;
    random = new SplittableRandom(seed);
    size = random.nextBoolean() ? 3 : 5;
    group = new VirtualGroup(random.nextLong());
    group.snapshotEvery = random.nextBoolean() ? 20 : 100;
    if (variant == Variant.NO_FORCE) {
      group.wrap = disk -> new UnsyncedLogDirectory(disk, true);
    }
    if (variant == Variant.UNTOLD_FAILURES) {
      group.wrap = SilentlyFailingLogDirectory::new;
    }
  }

  /** What came of it. */
  record Report(int yes, int reads, int terms, List<String> broken) {}

  Report play() throws IOException {
    group.begin(size);
    machinesEver = size;
    for (int i = 0; i < CALLERS; i++) {
      new Caller(i).next();
    }
    trouble();
    group.pass(DAY_MILLIS);
    over = true;
    group.heal();
    for (VirtualGroup.Machine machine : group.machines.values()) {
      machine.heldUntil = 0;
      machine.disk.setFailing(false);
      if (!machine.up()) {
        machine.start();
      }
    }
    group.pass(8000);
    end();
    return new Report(yes.size(), reads, group.leaders.size(), broken);
  }

  private void end() {
    for (MemberStatus standing : standings()) {
      if (standing.inactiveReason() != null) {
        broken.add(standing.name() + " is still aside: " + standing.inactiveReason());
      }
    }
    VirtualGroup.Machine leader = group.leader();
    if (leader == null) {
      broken.add("nobody leads at the end: " + standings());
      return;
    }
    List<ReplicatedState.Snapshot> last = new ArrayList<>();
    List<Throwable> why = new ArrayList<>();
    leader
        .agreement
        .read()
        .whenComplete(
            (image, cause) -> {
              if (cause == null) {
                last.add(image);
              } else {
                why.add(cause);
              }
            });
    group.pass(1000);
    if (last.isEmpty()) {
      broken.add("nothing can be read at the end: " + why + standings());
      return;
    }
    ReplicatedState replayed = new ReplicatedState();
    new TreeMap<>(group.log).forEach((index, id) -> replayed.apply(index, asked.get(id)));
    yes.forEach(
        (id, index) -> {
          if (!id.equals(group.log.get(index))) {
            broken.add(
                id + " was answered yes at " + index + ", where there is " + group.log.get(index));
          }
        });
    if (!replayed.excludedServers().equals(last.get(0).excludedServers())) {
      broken.add(
          "held is "
              + last.get(0).excludedServers()
              + ", the log says "
              + replayed.excludedServers());
    }
  }

  private List<MemberStatus> standings() {
    return group.machines.values().stream().map(machine -> machine.agreement.status()).toList();
  }

  /** Now and then something breaks, or is mended. */
  private void trouble() {
    group.at(
        group.now + (100 + random.nextLong(700)) * VirtualGroup.MILLI,
        () -> {
          if (over) {
            return;
          }
          try {
            somethingHappens();
          } catch (IOException e) {
            // On a disk that fails a process ends, and is started again later.
            if (!disksFail()) {
              broken.add("a machine can't start: " + e.getMessage());
            }
          }
          trouble();
        });
  }

  private VirtualGroup.Machine any() {
    List<VirtualGroup.Machine> all = List.copyOf(group.machines.values());
    return all.get(random.nextInt(all.size()));
  }

  private void somethingHappens() throws IOException {
    VirtualGroup.Machine one = any();
    VirtualGroup.Machine other = any();
    if (disksFail() && random.nextInt(3) == 0) {
      failDisk(one);
      return;
    }
    switch (random.nextInt(9)) {
      case 0, 1 -> {
        if (one.up()) {
          one.crash();
        } else {
          one.start();
        }
      }
      case 2 -> group.cut(one.name, other.name, true);
      case 3 -> {
        for (String name : group.machines.keySet()) {
          group.cut(one.name, name, true);
          group.cut(name, one.name, random.nextBoolean());
        }
      }
      case 4 -> group.loss = random.nextDouble() * 0.3;
      case 5 -> one.heldUntil = group.now + random.nextLong(5000) * VirtualGroup.MILLI;
      case 6 -> loseDisk(one);
      default -> {
        group.heal();
        for (VirtualGroup.Machine machine : group.machines.values()) {
          if (!machine.up()) {
            machine.start();
          }
        }
      }
    }
  }

  private boolean disksFail() {
    return variant == Variant.FAILING_DISKS || variant == Variant.UNTOLD_FAILURES;
  }

  private void failDisk(VirtualGroup.Machine machine) {
    CrashingLogDirectory disk = machine.disk;
    disk.setFailing(true);
    group.at(
        group.now + random.nextLong(3000) * VirtualGroup.MILLI,
        () -> {
          disk.setFailing(false);
          if (random.nextBoolean() && !over && machine.up() && machine.disk == disk) {
            machine.crash();
          }
        });
  }

  /** A machine is lost with its disk, and another takes its place: one at a time. */
  private void loseDisk(VirtualGroup.Machine lost) throws IOException {
    if (replacing) {
      return;
    }
    if (lost.up()) {
      lost.crash();
    }
    if (variant == Variant.OLD_NAME) {
      lost.disk = new CrashingLogDirectory();
      lost.start();
      return;
    }
    replacing = true;
    group.machines.remove(lost.name);
    String name = "m" + machinesEver++;
    VirtualGroup.Machine fresh = group.add(name, lost.first);
    change(
        fresh.name,
        RaftMember.MembershipChange.ADD_LEARNER,
        () ->
            change(
                fresh.name,
                RaftMember.MembershipChange.PROMOTE_TO_VOTER,
                () ->
                    change(
                        lost.name, RaftMember.MembershipChange.REMOVE, () -> replacing = false)));
  }

  /** Asks whoever leads until the group has changed. */
  private void change(String member, RaftMember.MembershipChange change, Runnable then) {
    VirtualGroup.Machine leader = group.leader();
    boolean done = leader != null && stands(leader, member, change);
    if (done) {
      then.run();
      return;
    }
    if (leader != null) {
      leader.agreement.changeMembership(member, change);
    }
    group.at(group.now + 300 * VirtualGroup.MILLI, () -> change(member, change, then));
  }

  private static boolean stands(
      VirtualGroup.Machine leader, String member, RaftMember.MembershipChange change) {
    MemberStatus standing = leader.agreement.status();
    return switch (change) {
      case ADD_LEARNER -> standing.members().contains(member);
      case PROMOTE_TO_VOTER -> standing.votingMembers().contains(member);
      case REMOVE -> !standing.members().contains(member);
    };
  }

  /** Asks for one thing after the other, each until it hears yes. */
  private final class Caller {
    private final int number;
    private int count;

    Caller(int number) {
      this.number = number;
    }

    void next() {
      if (over) {
        return;
      }
      if (random.nextInt(4) == 0) {
        read();
        return;
      }
      String id = "c" + number + "-" + count++;
      String server = "s-" + number + "-" + count % 5;
      Proposal proposal =
          new Proposal(
              id,
              group.now / VirtualGroup.MILLI,
              new StateCommand.SetExclusion(server, count % 3 != 0));
      asked.put(id, proposal);
      ask(proposal);
    }

    private void later() {
      group.at(group.now + random.nextLong(60) * VirtualGroup.MILLI, this::next);
    }

    private VirtualGroup.Machine somebody() {
      VirtualGroup.Machine leader = group.leader();
      VirtualGroup.Machine one = leader == null || random.nextInt(4) == 0 ? any() : leader;
      return one.up() ? one : null;
    }

    private void ask(Proposal proposal) {
      if (over) {
        return;
      }
      boolean[] settled = {false};
      VirtualGroup.Machine machine = somebody();
      if (machine != null) {
        machine
            .agreement
            .propose(proposal)
            .whenComplete(
                (answer, cause) -> {
                  if (settled[0]) {
                    return;
                  }
                  settled[0] = true;
                  if (cause == null) {
                    answered(proposal, answer);
                    later();
                  } else {
                    if (!(cause instanceof NotCommittedException)
                        && !(cause instanceof CompletionException)) {
                      broken.add("an answer that is none: " + cause);
                    }
                    group.at(group.now + 50 * VirtualGroup.MILLI, () -> ask(proposal));
                  }
                });
        if (variant == Variant.EARLY_YES && machine.agreement.status().isLeader()) {
          group.at(
              group.now,
              () -> {
                if (!settled[0] && machine.up()) {
                  settled[0] = true;
                  long index = machine.agreement.status().lastLogIndex() + 1;
                  answered(proposal, new CommandResult(CommandResult.Outcome.COMMITTED, index));
                  later();
                }
              });
        }
      }
      group.at(
          group.now + PATIENCE_MILLIS * VirtualGroup.MILLI,
          () -> {
            if (!settled[0]) {
              settled[0] = true;
              ask(proposal);
            }
          });
    }

    private void answered(Proposal proposal, CommandResult answer) {
      Long before = yes.put(proposal.id(), answer.index());
      if (before != null && before != answer.index()) {
        broken.add(proposal.id() + " was answered " + before + " and " + answer.index());
      }
      highestYes = Math.max(highestYes, answer.index());
    }

    private void read() {
      VirtualGroup.Machine machine = somebody();
      if (machine == null) {
        later();
        return;
      }
      long atLeast = highestYes;
      if (variant == Variant.STALE_READ) {
        check(machine.appliedTo, atLeast);
      } else {
        machine.agreement.read().thenAccept(image -> check(image.index(), atLeast));
      }
      later();
    }

    /** Whoever was answered before the read began is found by it. */
    private void check(long index, long atLeast) {
      reads++;
      if (index < atLeast) {
        broken.add("read up to " + index + ", where " + atLeast + " was answered before");
      }
    }
  }
}
