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
 * Answers are kept for {@value #RESULT_RETENTION_MILLIS} ms of the log's own time and {@value
 * #MAX_RETAINED_RESULTS} at most, the oldest give way. The log's time is the latest that any entry
 * has brought: it never runs backwards, whatever a proposer's clock does. A clock that is hours
 * ahead makes answers give way early; a repeat is then an entry of its own, and words are
 * idempotent.
 *
 * <p>Not thread-safe: it belongs to whoever applies the log.
 */
public final class ReplicatedState {
  /** Cache servers that may be left out at once. */
  public static final int MAX_EXCLUDED_SERVERS = 1024;

  /** Answers that are kept. */
  public static final int MAX_RETAINED_RESULTS = 20_000;

  /** How long an answer is kept, in the log's time. */
  public static final long RESULT_RETENTION_MILLIS = 600_000;

  private final SortedSet<String> excludedServers = new TreeSet<>();
  private final Map<String, RetainedResult> retainedResults = new LinkedHashMap<>();
  private long index;
  private long logTimeMillis;

  /**
   * An answer that was given.
   *
   * @param id whose proposal it was
   * @param logTimeMillis when, in the log's time
   */
  public record RetainedResult(String id, long logTimeMillis, CommandResult result) {}

  /**
   * The whole state, for a snapshot. Immutable.
   *
   * @param index the last entry that it has in it
   * @param logTimeMillis the log's time
   * @param excludedServers cache servers that are left out, in order
   * @param retainedResults those that are kept, oldest first
   */
  public record Snapshot(
      long index,
      long logTimeMillis,
      List<String> excludedServers,
      List<RetainedResult> retainedResults) {}

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
    logTimeMillis = Math.max(logTimeMillis, proposal.proposedAtMillis());
    RetainedResult before = retainedResults.get(proposal.id());
    if (before != null) {
      return before.result();
    }
    CommandResult answer = new CommandResult(effect(proposal.command()), place);
    retainedResults.put(proposal.id(), new RetainedResult(proposal.id(), logTimeMillis, answer));
    forget();
    return answer;
  }

  private CommandResult.Outcome effect(StateCommand entry) {
    if (!(entry instanceof StateCommand.SetExclusion say)) {
      return CommandResult.Outcome.UNKNOWN_COMMAND;
    }
    if (!say.excluded()) {
      excludedServers.remove(say.serverId());
    } else if (!excludedServers.contains(say.serverId())) {
      if (excludedServers.size() >= MAX_EXCLUDED_SERVERS) {
        return CommandResult.Outcome.CAPACITY_EXCEEDED;
      }
      excludedServers.add(say.serverId());
    }
    return CommandResult.Outcome.COMMITTED;
  }

  private void forget() {
    Iterator<RetainedResult> oldest = retainedResults.values().iterator();
    while (oldest.hasNext()) {
      RetainedResult given = oldest.next();
      if (retainedResults.size() <= MAX_RETAINED_RESULTS
          && given.logTimeMillis() + RESULT_RETENTION_MILLIS >= logTimeMillis) {
        return;
      }
      oldest.remove();
    }
  }

  /** The answer that a proposal of this id got, null if it is not known or not kept any more. */
  public CommandResult retainedResult(String id) {
    RetainedResult given = retainedResults.get(id);
    return given == null ? null : given.result();
  }

  /** The last entry that was applied, 0 for none. */
  public long index() {
    return index;
  }

  /** Cache servers that are left out. */
  public List<String> excludedServers() {
    return List.copyOf(excludedServers);
  }

  /** All of it, as it stands. */
  public Snapshot snapshot() {
    return new Snapshot(
        index,
        logTimeMillis,
        excludedServers(),
        List.copyOf(new ArrayList<>(retainedResults.values())));
  }

  /** Takes the state of a snapshot in the place of all that was known. */
  public void restore(Snapshot image) {
    index = image.index();
    logTimeMillis = image.logTimeMillis();
    excludedServers.clear();
    excludedServers.addAll(image.excludedServers());
    retainedResults.clear();
    image.retainedResults().forEach(given -> retainedResults.put(given.id(), given));
  }
}
