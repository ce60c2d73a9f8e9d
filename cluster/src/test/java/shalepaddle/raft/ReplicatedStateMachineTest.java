package shalepaddle.raft;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.encoding.CborValues;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;

/** What is told of an entry as it is applied. */
class ReplicatedStateMachineTest {
  /** A follower may know the kind, though this member does not. */
  @Test
  void anEntryOfALaterVersionIsToldWithAllItsBytes() {
    byte[] later =
        CborValues.encode("id", (id, out) -> out.put(id).put(7).put(77).put("what only they know"));
    List<byte[]> told = new ArrayList<>();
    ReplicatedStateMachine machine =
        new ReplicatedStateMachine(
            0,
            new RaftMember.Listener() {
              @Override
              public void entryApplied(
                  long index, byte[] body, Proposal proposal, CommandResult answer) {
                assertEquals(CommandResult.Outcome.UNKNOWN_COMMAND, answer.outcome());
                told.add(body);
              }

              @Override
              public void snapshotInstalled(ReplicatedState.Snapshot image) {}

              @Override
              public void statusChanged(MemberStatus standing) {}
            });
    machine.runOperation(3, later);
    assertEquals(1, told.size());
    assertArrayEquals(later, told.get(0));
  }
}
