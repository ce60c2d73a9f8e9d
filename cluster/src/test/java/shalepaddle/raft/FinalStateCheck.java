package shalepaddle.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/**
 * What must hold when all faults are healed: all members take part, the leader can read, each
 * acknowledged proposal is in the log, and the state is that of the log.
 *
 * @param proposals by id
 * @param acknowledged log indexes by proposal id
 */
record FinalStateCheck(
    VirtualGroup group,
    Map<String, Proposal> proposals,
    Map<String, Long> acknowledged,
    List<String> violations) {
  /** Adds what is violated. */
  void run() {
    for (MemberStatus status : statuses()) {
      if (!status.isActive()) {
        violations.add(status.name() + " is still aside: " + status.inactiveReason());
      }
    }
    VirtualGroup.Machine leader = group.leader();
    if (leader == null) {
      violations.add("nobody leads at the end: " + statuses());
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
    List<ReplicatedState.Snapshot> reads = new ArrayList<>();
    List<Throwable> failures = new ArrayList<>();
    leader
        .member
        .read()
        .whenComplete(
            (snapshot, failure) -> {
              if (failure == null) {
                reads.add(snapshot);
              } else {
                failures.add(failure);
              }
            });
    group.advance(1000);
    if (reads.isEmpty()) {
      violations.add("nothing can be read at the end: " + failures + statuses());
    }
    return reads.stream().findFirst();
  }

  /** Each acknowledged proposal is in the log where its result says. */
  private void checkAcknowledged() {
    acknowledged.forEach(
        (id, index) -> {
          String applied = group.appliedIds.get(index);
          if (!id.equals(applied)) {
            violations.add(id + " was answered yes at " + index + ", where there is " + applied);
          }
        });
  }

  private void checkEqualsReplayedLog(ReplicatedState.Snapshot state) {
    ReplicatedState replayed = new ReplicatedState();
    new TreeMap<>(group.appliedIds)
        .forEach((index, id) -> replayed.apply(index, proposals.get(id)));
    if (!replayed.excludedServers().equals(state.excludedServers())) {
      violations.add(
          "held is " + state.excludedServers() + ", the log says " + replayed.excludedServers());
    }
  }

  private List<MemberStatus> statuses() {
    return group.machines.values().stream().map(machine -> machine.member.status()).toList();
  }
}
