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
  private static Proposal say(String id, String member, boolean out) {
    return new Proposal(id, 1000, new StateCommand.SetExclusion(member, out));
  }

  @Test
  void whatIsAnsweredIsHeldByAllAndOutlivesTheLeadersDisk() throws Exception {
    VirtualGroup group = new VirtualGroup(1).begin(3);
    group.pass(3000);
    VirtualGroup.Machine leader = group.leader();
    assertNotNull(leader);
    List<CommandResult> answers = new ArrayList<>();
    leader.agreement.propose(say("p1", "s-1", true)).thenAccept(answers::add);
    group.pass(50);
    assertEquals(1, answers.size(), "held within milliseconds");
    assertEquals(CommandResult.Outcome.COMMITTED, answers.get(0).outcome());
    leader.crash();
    group.machines.remove(leader.name);
    group.pass(3000);
    VirtualGroup.Machine next = group.leader();
    assertNotNull(next, "nobody leads");
    List<Object> read = new ArrayList<>();
    next.agreement.read().thenAccept(image -> read.add(image.excludedServers()));
    next.agreement.propose(say("p1", "s-1", true)).thenAccept(answers::add);
    group.pass(100);
    assertEquals(List.of(List.of("s-1")), read);
    assertEquals(answers.get(0), answers.get(1), "asked again: the same answer, no second entry");
    assertTrue(next.agreement.status().term() > 1);
  }

  /** It has missed what the others held meanwhile, and comes to it without a restart. */
  @Test
  void aMemberWhoseDiskFailsForAWhileComesBackByItself() throws Exception {
    VirtualGroup group = new VirtualGroup(1).begin(3);
    group.pass(3000);
    VirtualGroup.Machine failing = group.leader();
    failing.disk.setFailing(true);
    failing.agreement.propose(say("p1", "s-1", true));
    group.pass(3000);
    assertNotNull(failing.agreement.status().inactiveReason());
    VirtualGroup.Machine next = group.leader();
    assertNotNull(next, "the others go on");
    List<CommandResult> answers = new ArrayList<>();
    next.agreement.propose(say("p2", "s-2", true)).thenAccept(answers::add);
    group.pass(100);
    assertEquals(CommandResult.Outcome.COMMITTED, answers.get(0).outcome());
    failing.disk.setFailing(false);
    group.pass(3000);
    assertNull(failing.agreement.status().inactiveReason());
    assertEquals(next.agreement.status().commitIndex(), failing.agreement.status().commitIndex());
    // What it has taken on since outlives a stop of its machine.
    failing.crash();
    failing.start();
    group.pass(3000);
    assertEquals(next.agreement.status().commitIndex(), failing.agreement.status().commitIndex());
  }
}
