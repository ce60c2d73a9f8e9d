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
 * Simulates a group under random faults that are drawn by a seed: callers propose and read while
 * machines crash, pause and lose their disks, and links lose, delay and duplicate messages or are
 * cut in one or both directions. At the end all faults are healed and the final state is checked.
 */
final class RaftGroupSimulation {
  private static final long FAULT_PHASE_MILLIS = 20_000;
  private static final long REQUEST_TIMEOUT_MILLIS = 700;
  private static final int CALLER_COUNT = 4;

  private final VirtualGroup group;
  private final SplittableRandom random;
  private final InjectedDefect defect;
  private final int groupSize;
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Proposal> proposals = new HashMap<>();
  private final Map<String, Long> acknowledgedIndexes = new HashMap<>();
  private long highestAcknowledgedIndex;
  private int readCount;
  private int createdMachineCount;
  private boolean isReplacingMachine;
  private boolean isFaultPhaseOver;

  RaftGroupSimulation(long seed, InjectedDefect defect) {
    this.defect = defect;
    random = new SplittableRandom(seed);
    groupSize = random.nextBoolean() ? 3 : 5;
    group = new VirtualGroup(random.nextLong());
    group.entriesBetweenSnapshots = random.nextBoolean() ? 20 : 100;
    if (defect == InjectedDefect.IGNORED_SYNC) {
      group.directoryWrapper = disk -> new UnsyncedLogDirectory(disk, true);
    }
    if (defect == InjectedDefect.HIDDEN_DISK_FAILURES) {
      group.directoryWrapper = SilentlyFailingLogDirectory::new;
    }
  }

  /**
   * The counts of a run and its violations.
   *
   * @param acknowledgedCount the number of acknowledged proposals
   * @param readCount the number of completed reads
   * @param termCount the number of terms that had a leader
   * @param violations a description of each violation, empty for a correct run
   */
  record Report(int acknowledgedCount, int readCount, int termCount, List<String> violations) {}

  Report run() throws IOException {
    group.startGroup(groupSize);
    createdMachineCount = groupSize;
    for (int i = 0; i < CALLER_COUNT; i++) {
      new Caller(i).sendNextRequest();
    }
    scheduleNextFault();
    group.advance(FAULT_PHASE_MILLIS);
    isFaultPhaseOver = true;
    group.heal();
    for (VirtualGroup.Machine machine : group.machines.values()) {
      machine.pausedUntilNanos = 0;
      machine.directory.setFailing(false);
      if (!machine.isUp()) {
        machine.start();
      }
    }
    group.advance(8000);
    new FinalStateCheck(group, proposals, acknowledgedIndexes, violations).run();
    return new Report(acknowledgedIndexes.size(), readCount, group.leaderByTerm.size(), violations);
  }

  /** Schedules the next random event, a fault or a repair, until the fault phase is over. */
  private void scheduleNextFault() {
    group.scheduleAt(
        group.nowNanos + (100 + random.nextLong(700)) * VirtualGroup.NANOS_PER_MILLI,
        () -> {
          if (isFaultPhaseOver) {
            return;
          }
          try {
            injectFault();
          } catch (IOException e) {
            // With failing disks a start may fail; the machine is started again later.
            if (!hasFailingDisks()) {
              violations.add("a machine failed to start: " + e.getMessage());
            }
          }
          scheduleNextFault();
        });
  }

  private VirtualGroup.Machine randomMachine() {
    List<VirtualGroup.Machine> allMachines = List.copyOf(group.machines.values());
    return allMachines.get(random.nextInt(allMachines.size()));
  }

  private void injectFault() throws IOException {
    VirtualGroup.Machine machine = randomMachine();
    VirtualGroup.Machine otherMachine = randomMachine();
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
      case 2 -> group.setLinkCut(machine.name, otherMachine.name, true);
      case 3 -> {
        for (String name : group.machines.keySet()) {
          group.setLinkCut(machine.name, name, true);
          group.setLinkCut(name, machine.name, random.nextBoolean());
        }
      }
      case 4 -> group.lossRatio = random.nextDouble() * 0.3;
      case 5 ->
          machine.pausedUntilNanos =
              group.nowNanos + random.nextLong(5000) * VirtualGroup.NANOS_PER_MILLI;
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
        group.nowNanos + random.nextLong(3000) * VirtualGroup.NANOS_PER_MILLI,
        () -> {
          disk.setFailing(false);
          if (random.nextBoolean()
              && !isFaultPhaseOver
              && machine.isUp()
              && machine.directory == disk) {
            machine.crash();
          }
        });
  }

  /** Replaces a machine that is lost together with its disk; only one replacement at a time. */
  private void loseDisk(VirtualGroup.Machine lostMachine) throws IOException {
    if (isReplacingMachine) {
      return;
    }
    if (lostMachine.isUp()) {
      lostMachine.crash();
    }
    if (defect == InjectedDefect.REUSED_NAME) {
      lostMachine.directory = new CrashingLogDirectory();
      lostMachine.start();
      return;
    }
    isReplacingMachine = true;
    group.machines.remove(lostMachine.name);
    String name = "m" + createdMachineCount++;
    VirtualGroup.Machine replacement = group.startMachine(name, lostMachine.initialMembers);
    changeMembership(
        replacement.name,
        RaftMember.MembershipChange.ADD_LEARNER,
        () ->
            changeMembership(
                replacement.name,
                RaftMember.MembershipChange.PROMOTE_TO_VOTER,
                () ->
                    changeMembership(
                        lostMachine.name,
                        RaftMember.MembershipChange.REMOVE,
                        () -> isReplacingMachine = false)));
  }

  /** Requests a change from the leader repeatedly until it takes effect, then runs a task. */
  private void changeMembership(
      String member, RaftMember.MembershipChange change, Runnable whenEffective) {
    VirtualGroup.Machine leader = group.leader();
    boolean isDone = leader != null && isMembershipChangeEffective(leader, member, change);
    if (isDone) {
      whenEffective.run();
      return;
    }
    if (leader != null) {
      leader.member.changeMembership(member, change);
    }
    group.scheduleAt(
        group.nowNanos + 300 * VirtualGroup.NANOS_PER_MILLI,
        () -> changeMembership(member, change, whenEffective));
  }

  private static boolean isMembershipChangeEffective(
      VirtualGroup.Machine leader, String member, RaftMember.MembershipChange change) {
    MemberStatus status = leader.member.status();
    return switch (change) {
      case ADD_LEARNER -> status.members().contains(member);
      case PROMOTE_TO_VOTER -> status.votingMembers().contains(member);
      case REMOVE -> !status.members().contains(member);
    };
  }

  /** Sends one request after another, and repeats each proposal until it is acknowledged. */
  private final class Caller {
    private final int callerNumber;
    private int proposalCount;

    Caller(int callerNumber) {
      this.callerNumber = callerNumber;
    }

    void sendNextRequest() {
      if (isFaultPhaseOver) {
        return;
      }
      if (random.nextInt(4) == 0) {
        read();
        return;
      }
      String id = "c" + callerNumber + "-" + proposalCount++;
      String server = "s-" + callerNumber + "-" + proposalCount % 5;
      Proposal proposal =
          new Proposal(
              id,
              group.nowNanos / VirtualGroup.NANOS_PER_MILLI,
              new StateCommand.SetExclusion(server, proposalCount % 3 != 0));
      proposals.put(id, proposal);
      send(proposal);
    }

    private void scheduleNextRequest() {
      group.scheduleAt(
          group.nowNanos + random.nextLong(60) * VirtualGroup.NANOS_PER_MILLI,
          this::sendNextRequest);
    }

    private VirtualGroup.Machine randomRequestTarget() {
      VirtualGroup.Machine leader = group.leader();
      VirtualGroup.Machine machine =
          leader == null || random.nextInt(4) == 0 ? randomMachine() : leader;
      return machine.isUp() ? machine : null;
    }

    private void send(Proposal proposal) {
      if (isFaultPhaseOver) {
        return;
      }
      Attempt attempt = new Attempt(proposal);
      VirtualGroup.Machine machine = randomRequestTarget();
      if (machine != null) {
        machine.member.propose(proposal).whenComplete(attempt::handleCompletion);
        if (defect == InjectedDefect.EARLY_ACKNOWLEDGEMENT && machine.member.status().isLeader()) {
          group.scheduleAt(group.nowNanos, () -> attempt.acknowledgeEarly(machine));
        }
      }
      group.scheduleAt(
          group.nowNanos + REQUEST_TIMEOUT_MILLIS * VirtualGroup.NANOS_PER_MILLI,
          attempt::handleTimeout);
    }

    /** One attempt at a proposal; only its first outcome counts: result, failure or timeout. */
    private final class Attempt {
      private final Proposal proposal;
      private boolean hasOutcome;

      Attempt(Proposal proposal) {
        this.proposal = proposal;
      }

      void handleCompletion(CommandResult result, Throwable failure) {
        if (hasOutcome) {
          return;
        }
        hasOutcome = true;
        if (failure == null) {
          recordAcknowledgement(proposal, result);
          scheduleNextRequest();
          return;
        }
        if (!(failure instanceof NotCommittedException)
            && !(failure instanceof CompletionException)) {
          violations.add("a proposal failed with an unexpected exception: " + failure);
        }
        group.scheduleAt(group.nowNanos + 50 * VirtualGroup.NANOS_PER_MILLI, () -> send(proposal));
      }

      void acknowledgeEarly(VirtualGroup.Machine machine) {
        if (!hasOutcome && machine.isUp()) {
          hasOutcome = true;
          long index = machine.member.status().lastLogIndex() + 1;
          recordAcknowledgement(
              proposal, new CommandResult(CommandResult.Outcome.COMMITTED, index));
          scheduleNextRequest();
        }
      }

      void handleTimeout() {
        if (!hasOutcome) {
          hasOutcome = true;
          send(proposal);
        }
      }
    }

    private void recordAcknowledgement(Proposal proposal, CommandResult result) {
      Long earlierIndex = acknowledgedIndexes.put(proposal.id(), result.index());
      if (earlierIndex != null && earlierIndex != result.index()) {
        violations.add(
            proposal.id()
                + " was acknowledged at index "
                + earlierIndex
                + " and again at "
                + result.index());
      }
      highestAcknowledgedIndex = Math.max(highestAcknowledgedIndex, result.index());
    }

    private void read() {
      VirtualGroup.Machine machine = randomRequestTarget();
      if (machine == null) {
        scheduleNextRequest();
        return;
      }
      long minIndex = highestAcknowledgedIndex;
      if (defect == InjectedDefect.STALE_READ) {
        checkRead(machine.appliedIndex, minIndex);
      } else {
        machine.member.read().thenAccept(state -> checkRead(state.index(), minIndex));
      }
      scheduleNextRequest();
    }

    /** Checks that a read includes all entries that were acknowledged before it was sent. */
    private void checkRead(long index, long minIndex) {
      readCount++;
      if (index < minIndex) {
        violations.add(
            "a read returned the state at index "
                + index
                + ", after index "
                + minIndex
                + " was acknowledged");
      }
    }
  }
}
