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

/** Checks the notifications of the listener when an entry is applied. */
class ReplicatedStateMachineTest {
  /** A subscriber of a later version may know the command even if this member does not. */
  @Test
  void notifiesListenerOfUnknownCommandWithOriginalBytes() {
    byte[] laterCommand =
        CborValues.encode(
            "id", (id, out) -> out.put(id).put(7).put(77).put("field of a later version"));
    List<byte[]> bodies = new ArrayList<>();
    ReplicatedStateMachine stateMachine =
        new ReplicatedStateMachine(
            0,
            new RaftMember.Listener() {
              @Override
              public void entryApplied(
                  long index, byte[] body, Proposal proposal, CommandResult result) {
                assertEquals(CommandResult.Outcome.UNKNOWN_COMMAND, result.outcome());
                bodies.add(body);
              }

              @Override
              public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {}

              @Override
              public void statusChanged(MemberStatus status) {}
            });
    stateMachine.runOperation(3, laterCommand);
    assertEquals(1, bodies.size());
    assertArrayEquals(laterCommand, bodies.get(0));
  }
}
