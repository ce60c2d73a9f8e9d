package shalepaddle.replicatedstate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;

/** What is held after some entries of the log. */
class ReplicatedStateTest {
  private final ReplicatedState promises = new ReplicatedState();
  private long index;

  private CommandResult say(String id, String member, boolean out, long at) {
    return promises.apply(
        ++index, new Proposal(id, at, new StateCommand.SetExclusion(member, out)));
  }

  private CommandResult say(String id, String member, boolean out) {
    return say(id, member, out, 1000);
  }

  @Test
  void theLastWordHoldsAndARepeatChangesNothing() {
    assertEquals(new CommandResult(CommandResult.Outcome.COMMITTED, 1), say("a", "s-1", true));
    assertEquals(new CommandResult(CommandResult.Outcome.COMMITTED, 2), say("b", "s-1", false));
    assertEquals(
        new CommandResult(CommandResult.Outcome.COMMITTED, 1),
        say("a", "s-1", true),
        "its first answer");
    assertEquals(
        List.of(), promises.excludedServers(), "an old word that comes again is not a new one");
    assertEquals(new CommandResult(CommandResult.Outcome.COMMITTED, 4), say("c", "s-1", true));
    assertEquals(List.of("s-1"), promises.excludedServers());
  }

  @Test
  void kindsOfLaterVersionsArePassedOver() {
    CommandResult answer = promises.apply(7, new Proposal("x", 5, new StateCommand.Unknown(99)));
    assertEquals(new CommandResult(CommandResult.Outcome.UNKNOWN_COMMAND, 7), answer);
    assertEquals(7, promises.index());
    assertEquals(List.of(), promises.excludedServers());
  }

  @Test
  void bothBoundsHold() {
    for (int i = 0; i < ReplicatedState.MAX_EXCLUDED_SERVERS; i++) {
      say("i" + i, "s-" + i, true);
    }
    assertEquals(CommandResult.Outcome.CAPACITY_EXCEEDED, say("more", "s-x", true).outcome());
    assertEquals(
        CommandResult.Outcome.COMMITTED, say("again", "s-0", true).outcome(), "it is out already");
    say("back", "s-0", false);
    assertEquals(CommandResult.Outcome.COMMITTED, say("now", "s-x", true).outcome());
    for (int i = 0; i < ReplicatedState.MAX_RETAINED_RESULTS + 10; i++) {
      say("j" + i, "s-1", i % 2 == 0);
    }
    assertEquals(
        ReplicatedState.MAX_RETAINED_RESULTS, promises.snapshot().retainedResults().size());
    assertNull(promises.retainedResult("i0"));
  }

  @Test
  void answersAreKeptForTheirWindowAndTimeNeverRunsBackwards() {
    say("a", "s-1", true, 5_000_000);
    say("b", "s-2", true, 1);
    assertEquals(5_000_000, promises.snapshot().logTimeMillis(), "an hour back changes nothing");
    say("c", "s-3", true, 5_000_000 + ReplicatedState.RESULT_RETENTION_MILLIS);
    assertEquals(1, promises.retainedResult("a").index());
    say("d", "s-4", true, 5_000_001 + ReplicatedState.RESULT_RETENTION_MILLIS);
    assertNull(promises.retainedResult("a"));
    assertNull(promises.retainedResult("b"));
    assertEquals(3, promises.retainedResult("c").index());
  }

  @Test
  void aSnapshotIsAllOfIt() {
    say("a", "s-1", true);
    say("b", "s-2", true);
    ReplicatedState other = new ReplicatedState();
    other.apply(1, new Proposal("z", 9, new StateCommand.SetExclusion("gone", true)));
    other.restore(promises.snapshot());
    assertEquals(promises.snapshot(), other.snapshot());
    CommandResult again =
        other.apply(3, new Proposal("a", 9, new StateCommand.SetExclusion("s-1", false)));
    assertEquals(1, again.index());
    assertEquals(List.of("s-1", "s-2"), other.excludedServers());
  }

  @Test
  void aLogOutOfOrderAndWhatIsTooLongAreTurnedDown() {
    say("a", "s-1", true);
    assertThrows(
        IllegalStateException.class,
        () -> promises.apply(1, new Proposal("b", 1, new StateCommand.SetExclusion("s-1", false))));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Proposal("", 1, new StateCommand.SetExclusion("s", true)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Proposal("a", 1, new StateCommand.SetExclusion("s".repeat(257), true)));
  }
}
