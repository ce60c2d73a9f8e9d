package shalepaddle.replicatedstate;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * All that is held, after so many entries of the agreed log.
 *
 * <p>The idea is that of a replicated state machine (Schneider, "Implementing Fault-Tolerant
 * Services Using the State Machine Approach", 1990) whose answers are part of the state: a caller
 * that does not know what became of its proposal asks again under the same id, at any node, and
 * gets the answer of the first time (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.3).
 * Answers are kept for {@value #WINDOW_MILLIS} ms of the log's own time and {@value #MOST_ANSWERS}
 * at most, the oldest give way. The log's time is the latest that any entry has brought: it never
 * runs backwards, whatever a proposer's clock does. A clock that is hours ahead makes answers give
 * way early; a repeat is then an entry of its own, and words are idempotent.
 *
 * <p>Not thread-safe: it belongs to whoever applies the log.
 */
public final class ReplicatedState {
  /** Cache servers that may be left out at once. */
  public static final int MOST_OUT = 1024;

  /** Answers that are kept. */
  public static final int MOST_ANSWERS = 20_000;

  /** How long an answer is kept, in the log's time. */
  public static final long WINDOW_MILLIS = 600_000;

  private final SortedSet<String> out = new TreeSet<>();
  private final Map<String, Given> answers = new LinkedHashMap<>();
  private long index;
  private long atMillis;

  /**
   * An answer that was given.
   *
   * @param id whose proposal it was
   * @param atMillis when, in the log's time
   */
  public record Given(String id, long atMillis, CommandResult answer) {}

  /**
   * The whole state, for a snapshot. Immutable.
   *
   * @param index the last entry that it has in it
   * @param atMillis the log's time
   * @param out cache servers that are left out, in order
   * @param answers those that are kept, oldest first
   */
  public record Image(long index, long atMillis, List<String> out, List<Given> answers) {}

  /**
   * Applies the entry at this place of the log.
   *
   * @throws IllegalStateException if it is not behind the last one: the log would have lost its
   *     order
   */
  public CommandResult apply(long place, Proposal proposal) {
    if (place <= index) {
      throw new IllegalStateException("entry " + place + " after " + index);
    }
    index = place;
    atMillis = Math.max(atMillis, proposal.atMillis());
    Given before = answers.get(proposal.id());
    if (before != null) {
      return before.answer();
    }
    CommandResult answer = new CommandResult(effect(proposal.entry()), place);
    answers.put(proposal.id(), new Given(proposal.id(), atMillis, answer));
    forget();
    return answer;
  }

  private CommandResult.Kind effect(StateCommand entry) {
    if (!(entry instanceof StateCommand.Say say)) {
      return CommandResult.Kind.NOT_KNOWN;
    }
    if (!say.out()) {
      out.remove(say.member());
    } else if (!out.contains(say.member())) {
      if (out.size() >= MOST_OUT) {
        return CommandResult.Kind.NO_ROOM;
      }
      out.add(say.member());
    }
    return CommandResult.Kind.HELD;
  }

  private void forget() {
    Iterator<Given> oldest = answers.values().iterator();
    while (oldest.hasNext()) {
      Given given = oldest.next();
      if (answers.size() <= MOST_ANSWERS && given.atMillis() + WINDOW_MILLIS >= atMillis) {
        return;
      }
      oldest.remove();
    }
  }

  /** The answer that a proposal of this id got, null if it is not known or not kept any more. */
  public CommandResult answered(String id) {
    Given given = answers.get(id);
    return given == null ? null : given.answer();
  }

  /** The last entry that was applied, 0 for none. */
  public long index() {
    return index;
  }

  /** Cache servers that are left out. */
  public List<String> out() {
    return List.copyOf(out);
  }

  /** All of it, as it stands. */
  public Image image() {
    return new Image(index, atMillis, out(), List.copyOf(new ArrayList<>(answers.values())));
  }

  /** Takes the state of a snapshot in the place of all that was known. */
  public void restore(Image image) {
    index = image.index();
    atMillis = image.atMillis();
    out.clear();
    out.addAll(image.out());
    answers.clear();
    image.answers().forEach(given -> answers.put(given.id(), given));
  }
}
