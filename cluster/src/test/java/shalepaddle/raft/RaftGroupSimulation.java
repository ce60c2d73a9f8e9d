package shalepaddle.raft;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletionException;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.StateCommand;
import shalepaddle.storage.CrashingLogDirectory;
import shalepaddle.storage.SilentlyFailingLogDirectory;
import shalepaddle.storage.UnsyncedLogDirectory;

/**
 * A group under random faults, by a seed: callers propose and read while machines crash, pause and
 * lose their disks, and links lose, delay and duplicate messages or are cut in one or both
 * directions. Ends with all faults healed, and reports what was violated.
 */
final class RaftGroupSimulation {
  private static final long FAULT_PHASE_MILLIS = 20_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 700;
  private static final int CALLERS = 4;

  private final VirtualGroup group;
  private final SplittableRandom random;
  private final InjectedDefect defect;
  private final int size;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Proposal> proposals = new HashMap<>();
  private final Map<String, Long> acknowledged = new HashMap<>();
  private long highestAcknowledged;
  private int reads;
  private int machinesCreated;
  private boolean isReplacing;
  private boolean isOver;

  RaftGroupSimulation(long seed, InjectedDefect defect) {
    this.defect = defect;
    random = new SplittableRandom(seed);
    size = random.nextBoolean() ? 3 : 5;
    group = new VirtualGroup(random.nextLong());
    group.entriesBetweenSnapshots = random.nextBoolean() ? 20 : 100;
    if (defect == InjectedDefect.IGNORED_SYNC) {
      group.directoryWrapper = disk -> new UnsyncedLogDirectory(disk, true);
    }
    if (defect == InjectedDefect.HIDDEN_DISK_FAILURES) {
      group.directoryWrapper = SilentlyFailingLogDirectory::new;
    }
  }

  /** The counts of a run, and what was violated. */
  record Report(int acknowledged, int reads, int terms, List<String> violations) {}

  Report run() throws IOException {
    group.startGroup(size);
    machinesCreated = size;
    for (int i = 0; i < CALLERS; i++) {
      new Caller(i).next();
    }
    scheduleNextFault();
    group.advance(FAULT_PHASE_MILLIS);
    isOver = true;
    group.heal();
    for (VirtualGroup.Machine machine : group.machines.values()) {
      machine.pausedUntil = 0;
      machine.directory.setFailing(false);
      if (!machine.isUp()) {
        machine.start();
      }
    }
    group.advance(8000);
    new FinalStateCheck(group, proposals, acknowledged, violations).run();
    return new Report(acknowledged.size(), reads, group.leaderByTerm.size(), violations);
  }

  /** Injects a fault or heals some, again and again. */
  private void scheduleNextFault() {
    group.scheduleAt(
        group.now + (100 + random.nextLong(700)) * VirtualGroup.MILLI,
        () -> {
          if (isOver) {
            return;
          }
          try {
            injectFault();
          } catch (IOException e) {
            // A process ends when its disk fails, and is started again later.
            if (!hasFailingDisks()) {
              violations.add("a machine can't start: " + e.getMessage());
            }
          }
          scheduleNextFault();
        });
  }

  private VirtualGroup.Machine randomMachine() {
    List<VirtualGroup.Machine> all = List.copyOf(group.machines.values());
    return all.get(random.nextInt(all.size()));
  }

  private void injectFault() throws IOException {
    VirtualGroup.Machine machine = randomMachine();
    VirtualGroup.Machine other = randomMachine();
    if (hasFailingDisks() && random.nextInt(3) == 0) {
      failDisk(machine);
      return;
    }
    switch (random.nextInt(9)) {
      case 0, 1 -> {
        if (machine.isUp()) {
          machine.crash();
        } else {
          machine.start();
        }
      }
      case 2 -> group.cut(machine.name, other.name, true);
      case 3 -> {
        for (String name : group.machines.keySet()) {
          group.cut(machine.name, name, true);
          group.cut(name, machine.name, random.nextBoolean());
        }
      }
      case 4 -> group.lossRatio = random.nextDouble() * 0.3;
      case 5 -> machine.pausedUntil = group.now + random.nextLong(5000) * VirtualGroup.MILLI;
      case 6 -> loseDisk(machine);
      default -> {
        group.heal();
        for (VirtualGroup.Machine stopped : group.machines.values()) {
          if (!stopped.isUp()) {
            stopped.start();
          }
        }
      }
    }
  }

  private boolean hasFailingDisks() {
    return defect == InjectedDefect.FAILING_DISKS || defect == InjectedDefect.HIDDEN_DISK_FAILURES;
  }

  private void failDisk(VirtualGroup.Machine machine) {
    CrashingLogDirectory disk = machine.directory;
    disk.setFailing(true);
    group.scheduleAt(
        group.now + random.nextLong(3000) * VirtualGroup.MILLI,
        () -> {
          disk.setFailing(false);
          if (random.nextBoolean() && !isOver && machine.isUp() && machine.directory == disk) {
            machine.crash();
          }
        });
  }

  /** Replaces a machine that is lost with its disk; one at a time. */
  private void loseDisk(VirtualGroup.Machine lost) throws IOException {
    if (isReplacing) {
      return;
    }
    if (lost.isUp()) {
      lost.crash();
    }
    if (defect == InjectedDefect.REUSED_NAME) {
      lost.directory = new CrashingLogDirectory();
      lost.start();
      return;
    }
    isReplacing = true;
    group.machines.remove(lost.name);
    String name = "m" + machinesCreated++;
    VirtualGroup.Machine replacement = group.startMachine(name, lost.initialMembers);
    changeMembership(
        replacement.name,
        RaftMember.MembershipChange.ADD_LEARNER,
        () ->
            changeMembership(
                replacement.name,
                RaftMember.MembershipChange.PROMOTE_TO_VOTER,
                () ->
                    changeMembership(
                        lost.name, RaftMember.MembershipChange.REMOVE, () -> isReplacing = false)));
  }

  /** Asks the leader until the change is effective. */
  private void changeMembership(String member, RaftMember.MembershipChange change, Runnable then) {
    VirtualGroup.Machine leader = group.leader();
    boolean done = leader != null && isEffective(leader, member, change);
    if (done) {
      then.run();
      return;
    }
    if (leader != null) {
      leader.member.changeMembership(member, change);
    }
    group.scheduleAt(
        group.now + 300 * VirtualGroup.MILLI, () -> changeMembership(member, change, then));
  }

  private static boolean isEffective(
      VirtualGroup.Machine leader, String member, RaftMember.MembershipChange change) {
    MemberStatus status = leader.member.status();
    return switch (change) {
      case ADD_LEARNER -> status.members().contains(member);
      case PROMOTE_TO_VOTER -> status.votingMembers().contains(member);
      case REMOVE -> !status.members().contains(member);
    };
  }

  /** Sends one request after the other, each until it is acknowledged. */
  private final class Caller {
    private final int number;
    private int count;

    Caller(int number) {
      this.number = number;
    }

    void next() {
      if (isOver) {
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
      proposals.put(id, proposal);
      send(proposal);
    }

    private void scheduleNext() {
      group.scheduleAt(group.now + random.nextLong(60) * VirtualGroup.MILLI, this::next);
    }

    private VirtualGroup.Machine randomTarget() {
      VirtualGroup.Machine leader = group.leader();
      VirtualGroup.Machine machine =
          leader == null || random.nextInt(4) == 0 ? randomMachine() : leader;
      return machine.isUp() ? machine : null;
    }

    private void send(Proposal proposal) {
      if (isOver) {
        return;
      }
      Attempt attempt = new Attempt(proposal);
      VirtualGroup.Machine machine = randomTarget();
      if (machine != null) {
        machine.member.propose(proposal).whenComplete(attempt::completed);
        if (defect == InjectedDefect.EARLY_ACKNOWLEDGEMENT && machine.member.status().isLeader()) {
          group.scheduleAt(group.now, () -> attempt.acknowledgeEarly(machine));
        }
      }
      group.scheduleAt(group.now + REQUEST_TIMEOUT_MILLIS * VirtualGroup.MILLI, attempt::timedOut);
    }

    /** One attempt at a proposal; the first outcome counts. */
    private final class Attempt {
      private final Proposal proposal;
      private boolean isSettled;

      Attempt(Proposal proposal) {
        this.proposal = proposal;
      }

      void completed(CommandResult result, Throwable failure) {
        if (isSettled) {
          return;
        }
        isSettled = true;
        if (failure == null) {
          acknowledged(proposal, result);
          scheduleNext();
          return;
        }
        if (!(failure instanceof NotCommittedException)
            && !(failure instanceof CompletionException)) {
          violations.add("an answer that is none: " + failure);
        }
        group.scheduleAt(group.now + 50 * VirtualGroup.MILLI, () -> send(proposal));
      }

      void acknowledgeEarly(VirtualGroup.Machine machine) {
        if (!isSettled && machine.isUp()) {
          isSettled = true;
          long index = machine.member.status().lastLogIndex() + 1;
          acknowledged(proposal, new CommandResult(CommandResult.Outcome.COMMITTED, index));
          scheduleNext();
        }
      }

      void timedOut() {
        if (!isSettled) {
          isSettled = true;
          send(proposal);
        }
      }
    }

    private void acknowledged(Proposal proposal, CommandResult result) {
      Long before = acknowledged.put(proposal.id(), result.index());
      if (before != null && before != result.index()) {
        violations.add(proposal.id() + " was answered " + before + " and " + result.index());
      }
      highestAcknowledged = Math.max(highestAcknowledged, result.index());
    }

    private void read() {
      VirtualGroup.Machine machine = randomTarget();
      if (machine == null) {
        scheduleNext();
        return;
      }
      long atLeast = highestAcknowledged;
      if (defect == InjectedDefect.STALE_READ) {
        checkRead(machine.appliedIndex, atLeast);
      } else {
        machine.member.read().thenAccept(state -> checkRead(state.index(), atLeast));
      }
      scheduleNext();
    }

    /** A read must have all entries that were acknowledged before it. */
    private void checkRead(long index, long atLeast) {
      reads++;
      if (index < atLeast) {
        violations.add("read up to " + index + ", where " + atLeast + " was answered before");
      }
    }
  }
}
