package shalepaddle.raft;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.StateCommand;

/** Runs a group of three members in virtual time. */
class RaftMemberTest {
  private static Proposal exclusionProposal(String id, String serverId, boolean isExcluded) {
    return new Proposal(id, 1000, new StateCommand.SetExclusion(serverId, isExcluded));
  }

  @Test
  void keepsCommittedEntryWhenLeaderIsLost() throws Exception {
    VirtualGroup group = new VirtualGroup(1).startGroup(3);
    group.advance(3000);
    VirtualGroup.Machine leader = group.leader();
    assertNotNull(leader);
    List<CommandResult> results = new ArrayList<>();
    leader.member.propose(exclusionProposal("p1", "s-1", true)).thenAccept(results::add);
    group.advance(50);
    assertEquals(1, results.size(), "number of results that arrived within 50 ms");
    assertEquals(CommandResult.Outcome.COMMITTED, results.get(0).outcome());
    leader.crash();
    group.machines.remove(leader.name);
    group.advance(3000);
    VirtualGroup.Machine newLeader = group.leader();
    assertNotNull(newLeader, "no new leader was elected");
    List<Object> readStates = new ArrayList<>();
    newLeader.member.read().thenAccept(state -> readStates.add(state.excludedServers()));
    newLeader.member.propose(exclusionProposal("p1", "s-1", true)).thenAccept(results::add);
    group.advance(100);
    assertEquals(List.of(List.of("s-1")), readStates);
    assertEquals(
        results.get(0),
        results.get(1),
        "a repeated proposal must return the first result, without a second entry");
    assertTrue(newLeader.member.status().term() > 1);
  }

  /** The member catches up, without a restart, with the entries committed while its disk failed. */
  @Test
  void recoversWithoutRestartAfterDiskFailure() throws Exception {
    VirtualGroup group = new VirtualGroup(1).startGroup(3);
    group.advance(3000);
    VirtualGroup.Machine failingLeader = group.leader();
    failingLeader.directory.setFailing(true);
    failingLeader.member.propose(exclusionProposal("p1", "s-1", true));
    group.advance(3000);
    assertNotNull(failingLeader.member.status().inactiveReason());
    VirtualGroup.Machine newLeader = group.leader();
    assertNotNull(newLeader, "the other members must elect a new leader");
    List<CommandResult> results = new ArrayList<>();
    newLeader.member.propose(exclusionProposal("p2", "s-2", true)).thenAccept(results::add);
    group.advance(100);
    assertEquals(CommandResult.Outcome.COMMITTED, results.get(0).outcome());
    failingLeader.directory.setFailing(false);
    group.advance(3000);
    assertNull(failingLeader.member.status().inactiveReason());
    assertEquals(
        newLeader.member.status().commitIndex(), failingLeader.member.status().commitIndex());
    // The entries that this member has persisted since its recovery survive a crash.
    failingLeader.crash();
    failingLeader.start();
    group.advance(3000);
    assertEquals(
        newLeader.member.status().commitIndex(), failingLeader.member.status().commitIndex());
  }
}
