package shalepaddle.replicatedstate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the state and the results after applying entries of the log. */
class ReplicatedStateTest {
  private final ReplicatedState state = new ReplicatedState();
  private long index;

  private CommandResult setExclusion(
      String id, String serverId, boolean isExcluded, long proposedAtMillis) {
    return state.apply(
        ++index,
        new Proposal(id, proposedAtMillis, new StateCommand.SetExclusion(serverId, isExcluded)));
  }

  private CommandResult setExclusion(String id, String serverId, boolean isExcluded) {
    return setExclusion(id, serverId, isExcluded, 1000);
  }

  @Test
  void appliesLastCommandAndIgnoresRepeatedProposal() {
    assertEquals(
        new CommandResult(CommandResult.Outcome.COMMITTED, 1), setExclusion("a", "s-1", true));
    assertEquals(
        new CommandResult(CommandResult.Outcome.COMMITTED, 2), setExclusion("b", "s-1", false));
    assertEquals(
        new CommandResult(CommandResult.Outcome.COMMITTED, 1),
        setExclusion("a", "s-1", true),
        "a repeated proposal gets the first result");
    assertEquals(List.of(), state.excludedServers(), "a repeated proposal has no second effect");
    assertEquals(
        new CommandResult(CommandResult.Outcome.COMMITTED, 4), setExclusion("c", "s-1", true));
    assertEquals(List.of("s-1"), state.excludedServers());
  }

  @Test
  void ignoresCommandOfLaterVersion() {
    CommandResult result =
        state.apply(7, new Proposal("x", 5, new StateCommand.UnknownCommand(99)));
    assertEquals(new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, 7), result);
    assertEquals(7, state.index());
    assertEquals(List.of(), state.excludedServers());
  }

  @Test
  void rejectsExclusionsPastMaximumAndEvictsOldestResults() {
    for (int i = 0; i < ReplicatedState.MAX_EXCLUDED_SERVERS; i++) {
      setExclusion("i" + i, "s-" + i, true);
    }
    assertEquals(
        CommandResult.Outcome.CAPACITY_EXCEEDED, setExclusion("more", "s-x", true).outcome());
    assertEquals(
        CommandResult.Outcome.COMMITTED,
        setExclusion("again", "s-0", true).outcome(),
        "at the maximum, a server that is already excluded can be excluded again");
    setExclusion("back", "s-0", false);
    assertEquals(CommandResult.Outcome.COMMITTED, setExclusion("now", "s-x", true).outcome());
    for (int i = 0; i < ReplicatedState.MAX_RETAINED_RESULTS + 10; i++) {
      setExclusion("j" + i, "s-1", i % 2 == 0);
    }
    assertEquals(ReplicatedState.MAX_RETAINED_RESULTS, state.snapshot().retainedResults().size());
    assertNull(state.retainedResult("i0"));
  }

  @Test
  void retainsResultsByLogTimeThatNeverGoesBackwards() {
    setExclusion("a", "s-1", true, 5_000_000);
    setExclusion("b", "s-2", true, 1);
    assertEquals(5_000_000, state.snapshot().logTimeMillis(), "log time never goes backwards");
    setExclusion("c", "s-3", true, 5_000_000 + ReplicatedState.RESULT_RETENTION_MILLIS);
    assertEquals(1, state.retainedResult("a").index());
    setExclusion("d", "s-4", true, 5_000_001 + ReplicatedState.RESULT_RETENTION_MILLIS);
    assertNull(state.retainedResult("a"));
    assertNull(state.retainedResult("b"));
    assertEquals(3, state.retainedResult("c").index());
  }

  @Test
  void restoresCompleteStateFromSnapshot() {
    setExclusion("a", "s-1", true);
    setExclusion("b", "s-2", true);
    ReplicatedState restoredState = new ReplicatedState();
    restoredState.apply(1, new Proposal("z", 9, new StateCommand.SetExclusion("gone", true)));
    restoredState.restore(state.snapshot());
    assertEquals(state.snapshot(), restoredState.snapshot());
    CommandResult repeatedResult =
        restoredState.apply(3, new Proposal("a", 9, new StateCommand.SetExclusion("s-1", false)));
    assertEquals(1, repeatedResult.index());
    assertEquals(List.of("s-1", "s-2"), restoredState.excludedServers());
  }

  @Test
  void rejectsEntryOutOfOrderAndOversizedProposal() {
    setExclusion("a", "s-1", true);
    assertThrows(
        IllegalStateException.class,
        () -> state.apply(1, new Proposal("b", 1, new StateCommand.SetExclusion("s-1", false))));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Proposal("", 1, new StateCommand.SetExclusion("s", true)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Proposal("a", 1, new StateCommand.SetExclusion("s".repeat(257), true)));
  }
}
