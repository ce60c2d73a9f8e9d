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
    return promises.apply(++index, new Proposal(id, at, new StateCommand.Say(member, out)));
  }

  private CommandResult say(String id, String member, boolean out) {
    return say(id, member, out, 1000);
  }

  @Test
  void theLastWordHoldsAndARepeatChangesNothing() {
    assertEquals(new CommandResult(CommandResult.Kind.HELD, 1), say("a", "s-1", true));
    assertEquals(new CommandResult(CommandResult.Kind.HELD, 2), say("b", "s-1", false));
    assertEquals(
        new CommandResult(CommandResult.Kind.HELD, 1), say("a", "s-1", true), "its first answer");
    assertEquals(List.of(), promises.out(), "an old word that comes again is not a new one");
    assertEquals(new CommandResult(CommandResult.Kind.HELD, 4), say("c", "s-1", true));
    assertEquals(List.of("s-1"), promises.out());
  }

  @Test
  void kindsOfLaterVersionsArePassedOver() {
    CommandResult answer = promises.apply(7, new Proposal("x", 5, new StateCommand.Unknown(99)));
    assertEquals(new CommandResult(CommandResult.Kind.NOT_KNOWN, 7), answer);
    assertEquals(7, promises.index());
    assertEquals(List.of(), promises.out());
  }

  @Test
  void bothBoundsHold() {
    for (int i = 0; i < ReplicatedState.MOST_OUT; i++) {
      say("i" + i, "s-" + i, true);
    }
    assertEquals(CommandResult.Kind.NO_ROOM, say("more", "s-x", true).kind());
    assertEquals(CommandResult.Kind.HELD, say("again", "s-0", true).kind(), "it is out already");
    say("back", "s-0", false);
    assertEquals(CommandResult.Kind.HELD, say("now", "s-x", true).kind());
    for (int i = 0; i < ReplicatedState.MOST_ANSWERS + 10; i++) {
      say("j" + i, "s-1", i % 2 == 0);
    }
    assertEquals(ReplicatedState.MOST_ANSWERS, promises.image().answers().size());
    assertNull(promises.answered("i0"));
  }

  @Test
  void answersAreKeptForTheirWindowAndTimeNeverRunsBackwards() {
    say("a", "s-1", true, 5_000_000);
    say("b", "s-2", true, 1);
    assertEquals(5_000_000, promises.image().atMillis(), "an hour back changes nothing");
    say("c", "s-3", true, 5_000_000 + ReplicatedState.WINDOW_MILLIS);
    assertEquals(1, promises.answered("a").index());
    say("d", "s-4", true, 5_000_001 + ReplicatedState.WINDOW_MILLIS);
    assertNull(promises.answered("a"));
    assertNull(promises.answered("b"));
    assertEquals(3, promises.answered("c").index());
  }

  @Test
  void aSnapshotIsAllOfIt() {
    say("a", "s-1", true);
    say("b", "s-2", true);
    ReplicatedState other = new ReplicatedState();
    other.apply(1, new Proposal("z", 9, new StateCommand.Say("gone", true)));
    other.restore(promises.image());
    assertEquals(promises.image(), other.image());
    CommandResult again = other.apply(3, new Proposal("a", 9, new StateCommand.Say("s-1", false)));
    assertEquals(1, again.index());
    assertEquals(List.of("s-1", "s-2"), other.out());
  }

  @Test
  void aLogOutOfOrderAndWhatIsTooLongAreTurnedDown() {
    say("a", "s-1", true);
    assertThrows(
        IllegalStateException.class,
        () -> promises.apply(1, new Proposal("b", 1, new StateCommand.Say("s-1", false))));
    assertThrows(
        IllegalArgumentException.class, () -> new Proposal("", 1, new StateCommand.Say("s", true)));
    assertThrows(
        IllegalArgumentException.class,
        () -> new Proposal("a", 1, new StateCommand.Say("s".repeat(257), true)));
  }
}
