package shalepaddle.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/**
 * Checks a group after all faults are healed: every member is active, the leader can read, each
 * acknowledged proposal is in the log at its acknowledged index, and the state equals that of a
 * replayed log.
 *
 * @param proposals all proposals, by id
 * @param acknowledgedIndexes the log index with which each proposal was acknowledged, by its id
 * @param violations the list to which a description of each violation is added
 */
record FinalStateCheck(
    VirtualGroup group,
    Map<String, Proposal> proposals,
    Map<String, Long> acknowledgedIndexes,
    List<String> violations) {
  /** Runs all checks, and adds a description of each violation. */
  void run() {
    for (MemberStatus status : statuses()) {
      if (!status.isActive()) {
        violations.add(status.name() + " is still inactive: " + status.inactiveReason());
      }
    }
    VirtualGroup.Machine leader = group.leader();
    if (leader == null) {
      violations.add("there is no leader at the end: " + statuses());
      return;
    }
    readFinalState(leader)
        .ifPresent(
            state -> {
              checkAcknowledged();
              checkEqualsReplayedLog(state);
            });
  }

  private Optional<ReplicatedState.Snapshot> readFinalState(VirtualGroup.Machine leader) {
    List<ReplicatedState.Snapshot> readStates = new ArrayList<>();
    List<Throwable> failures = new ArrayList<>();
    leader
        .member
        .read()
        .whenComplete(
            (snapshot, failure) -> {
              if (failure == null) {
                readStates.add(snapshot);
              } else {
                failures.add(failure);
              }
            });
    group.advance(1000);
    if (readStates.isEmpty()) {
      violations.add("the final read failed: " + failures + ", " + statuses());
    }
    return readStates.stream().findFirst();
  }

  /** Checks that each acknowledged proposal is in the log at the index of its result. */
  private void checkAcknowledged() {
    acknowledgedIndexes.forEach(
        (id, index) -> {
          String appliedId = group.appliedProposalIds.get(index);
          if (!id.equals(appliedId)) {
            violations.add(
                id + " was acknowledged at index " + index + ", where the log has " + appliedId);
          }
        });
  }

  private void checkEqualsReplayedLog(ReplicatedState.Snapshot state) {
    ReplicatedState replayedState = new ReplicatedState();
    new TreeMap<>(group.appliedProposalIds)
        .forEach((index, id) -> replayedState.apply(index, proposals.get(id)));
    if (!replayedState.excludedServers().equals(state.excludedServers())) {
      violations.add(
          "excluded servers are "
              + state.excludedServers()
              + ", but a replay of the log excludes "
              + replayedState.excludedServers());
    }
  }

  private List<MemberStatus> statuses() {
    return group.machines.values().stream().map(machine -> machine.member.status()).toList();
  }
}
