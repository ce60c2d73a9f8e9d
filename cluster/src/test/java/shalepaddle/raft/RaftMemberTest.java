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

/** A group in virtual time. */
class RaftMemberTest {
  private static Proposal exclusion(String id, String serverId, boolean excluded) {
    return new Proposal(id, 1000, new StateCommand.SetExclusion(serverId, excluded));
  }

  @Test
  void commitsEntryThatSurvivesLossOfLeader() throws Exception {
    VirtualGroup group = new VirtualGroup(1).startGroup(3);
    group.advance(3000);
    VirtualGroup.Machine leader = group.leader();
    assertNotNull(leader);
    List<CommandResult> results = new ArrayList<>();
    leader.member.propose(exclusion("p1", "s-1", true)).thenAccept(results::add);
    group.advance(50);
    assertEquals(1, results.size(), "committed within milliseconds");
    assertEquals(CommandResult.Outcome.COMMITTED, results.get(0).outcome());
    leader.crash();
    group.machines.remove(leader.name);
    group.advance(3000);
    VirtualGroup.Machine next = group.leader();
    assertNotNull(next, "nobody leads");
    List<Object> read = new ArrayList<>();
    next.member.read().thenAccept(state -> read.add(state.excludedServers()));
    next.member.propose(exclusion("p1", "s-1", true)).thenAccept(results::add);
    group.advance(100);
    assertEquals(List.of(List.of("s-1")), read);
    assertEquals(results.get(0), results.get(1), "repeated: the same result, no second entry");
    assertTrue(next.member.status().term() > 1);
  }

  /** It catches up with what the others committed meanwhile, without a restart. */
  @Test
  void recoversAfterDiskFailure() throws Exception {
    VirtualGroup group = new VirtualGroup(1).startGroup(3);
    group.advance(3000);
    VirtualGroup.Machine failing = group.leader();
    failing.directory.setFailing(true);
    failing.member.propose(exclusion("p1", "s-1", true));
    group.advance(3000);
    assertNotNull(failing.member.status().inactiveReason());
    VirtualGroup.Machine next = group.leader();
    assertNotNull(next, "the others go on");
    List<CommandResult> results = new ArrayList<>();
    next.member.propose(exclusion("p2", "s-2", true)).thenAccept(results::add);
    group.advance(100);
    assertEquals(CommandResult.Outcome.COMMITTED, results.get(0).outcome());
    failing.directory.setFailing(false);
    group.advance(3000);
    assertNull(failing.member.status().inactiveReason());
    assertEquals(next.member.status().commitIndex(), failing.member.status().commitIndex());
    // What it has persisted since survives a crash.
    failing.crash();
    failing.start();
    group.advance(3000);
    assertEquals(next.member.status().commitIndex(), failing.member.status().commitIndex());
  }
}
