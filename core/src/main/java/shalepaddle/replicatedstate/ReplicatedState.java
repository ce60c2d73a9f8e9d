package shalepaddle.replicatedstate;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The state that results from the applied entries of the replicated log.
 *
 * <p>A replicated state machine (Schneider, "Implementing Fault-Tolerant Services Using the State
 * Machine Approach", 1990) whose results are part of the state: a caller that does not know the
 * result of its proposal repeats it with the same id at any member and gets the first result
 * (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.3). Results are retained for {@value
 * #RESULT_RETENTION_MILLIS} ms of log time, at most {@value #MAX_RETAINED_RESULTS}; the oldest are
 * evicted.
 *
 * <p>Log time is the latest time in any applied proposal, so it never goes backwards. A proposer
 * whose clock is far ahead causes early eviction. A repeated proposal is then applied a second
 * time, which changes nothing for an exclusion.
 *
 * <p>Not thread-safe: owned by the thread that applies the log.
 */
public final class ReplicatedState {
  /** Maximum number of cache servers excluded at the same time. */
  public static final int MAX_EXCLUDED_SERVERS = 1024;

  /** Maximum number of retained results. */
  public static final int MAX_RETAINED_RESULTS = 20_000;

  /** How long a result is retained, in log time. */
  public static final long RESULT_RETENTION_MILLIS = 600_000;

  private final SortedSet<String> excludedServers = new TreeSet<>();

  /** The retained results by the id of their proposal, oldest first. */
  private final Map<String, RetainedResult> retainedResults = new LinkedHashMap<>();

  private long index;
  private long logTimeMillis;

  /**
   * The result of an earlier proposal. Immutable.
   *
   * @param id the id of the proposal
   * @param logTimeMillis the log time when the proposal was applied
   * @param result the result
   */
  public record RetainedResult(String id, long logTimeMillis, CommandResult result) {}

  /**
   * The complete state. Immutable.
   *
   * @param index the last log index that is applied in the state
   * @param logTimeMillis the log time, in milliseconds since 1970
   * @param excludedServers ids of the excluded cache servers, sorted
   * @param retainedResults results of earlier proposals, oldest first
   */
  public record Snapshot(
      long index,
      long logTimeMillis,
      List<String> excludedServers,
      List<RetainedResult> retainedResults) {}

  /**
   * Applies an entry of the log.
   *
   * @param entryIndex the entry's log index
   * @return the result; for a repeated proposal, the result of the first one
   * @throws IllegalStateException if the index is not after the last one
   */
  public CommandResult apply(long entryIndex, Proposal proposal) {
    if (entryIndex <= index) {
      throw new IllegalStateException(
          "entry index " + entryIndex + " must be above the last applied index " + index);
    }
    index = entryIndex;
    logTimeMillis = Math.max(logTimeMillis, proposal.proposedAtMillis());
    RetainedResult earlierResult = retainedResults.get(proposal.id());
    if (earlierResult != null) {
      return earlierResult.result();
    }
    CommandResult result = new CommandResult(execute(proposal.command()), entryIndex);
    retainedResults.put(proposal.id(), new RetainedResult(proposal.id(), logTimeMillis, result));
    evictResults();
    return result;
  }

  private CommandResult.Outcome execute(StateCommand command) {
    if (!(command instanceof StateCommand.SetExclusion exclusion)) {
      return CommandResult.Outcome.UNKNOWN_COMMAND;
    }
    if (!exclusion.isExcluded()) {
      excludedServers.remove(exclusion.serverId());
    } else if (!excludedServers.contains(exclusion.serverId())) {
      if (excludedServers.size() >= MAX_EXCLUDED_SERVERS) {
        return CommandResult.Outcome.CAPACITY_EXCEEDED;
      }
      excludedServers.add(exclusion.serverId());
    }
    return CommandResult.Outcome.COMMITTED;
  }

  private void evictResults() {
    Iterator<RetainedResult> oldestFirst = retainedResults.values().iterator();
    while (oldestFirst.hasNext()) {
      RetainedResult oldestResult = oldestFirst.next();
      if (retainedResults.size() <= MAX_RETAINED_RESULTS
          && oldestResult.logTimeMillis() + RESULT_RETENTION_MILLIS >= logTimeMillis) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** The result of the proposal with this id; null if there was none or it is not retained. */
  public CommandResult retainedResult(String id) {
    RetainedResult retainedResult = retainedResults.get(id);
    return retainedResult == null ? null : retainedResult.result();
  }

  /** The last log index that was applied, 0 for none. */
  public long index() {
    return index;
  }

  /** Ids of the excluded cache servers, sorted. */
  public List<String> excludedServers() {
    return List.copyOf(excludedServers);
  }

  /** Returns the complete state. */
  public Snapshot snapshot() {
    return new Snapshot(
        index, logTimeMillis, excludedServers(), List.copyOf(retainedResults.values()));
  }

  /** Replaces the state by that in a snapshot. */
  public void restore(Snapshot snapshot) {
    index = snapshot.index();
    logTimeMillis = snapshot.logTimeMillis();
    excludedServers.clear();
    excludedServers.addAll(snapshot.excludedServers());
    retainedResults.clear();
    snapshot
        .retainedResults()
        .forEach(retainedResult -> retainedResults.put(retainedResult.id(), retainedResult));
  }
}
