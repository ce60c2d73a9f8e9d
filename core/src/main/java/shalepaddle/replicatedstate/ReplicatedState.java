package shalepaddle.replicatedstate;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * The state after the applied entries of the replicated log.
 *
 * <p>A replicated state machine (Schneider, "Implementing Fault-Tolerant Services Using the State
 * Machine Approach", 1990) whose results are part of the state: a caller that does not know what
 * became of its proposal repeats it under the same id, at any member, and gets the first result
 * (Ongaro, "Consensus: Bridging Theory and Practice", 2014, 6.3). Results are retained for {@value
 * #RESULT_RETENTION_MILLIS} ms of log time, {@value #MAX_RETAINED_RESULTS} at most; the oldest are
 * evicted.
 *
 * <p>Log time is the latest time that any applied proposal brought, so it never runs backwards. A
 * proposer whose clock is far ahead causes early eviction; a repeat is then a second entry, which
 * for an exclusion changes nothing.
 *
 * <p>Not thread-safe: owned by the thread that applies the log.
 */
public final class ReplicatedState {
  /** Cache servers that may be excluded at once. */
  public static final int MAX_EXCLUDED_SERVERS = 1024;

  /** Results that are retained at most. */
  public static final int MAX_RETAINED_RESULTS = 20_000;

  /** How long a result is retained, in log time. */
  public static final long RESULT_RETENTION_MILLIS = 600_000;

  private final SortedSet<String> excludedServers = new TreeSet<>();

  /** By the id of the proposal, oldest first. */
  private final Map<String, RetainedResult> retainedResults = new LinkedHashMap<>();

  private long index;
  private long logTimeMillis;

  /**
   * The result of an earlier proposal. Immutable.
   *
   * @param id the proposal's
   * @param logTimeMillis the log time when it was applied
   */
  public record RetainedResult(String id, long logTimeMillis, CommandResult result) {}

  /**
   * The whole state. Immutable.
   *
   * @param index the last log index that is applied in it
   * @param excludedServers ids of cache servers, sorted
   * @param retainedResults oldest first
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
   * @return the result, that of the first time if the proposal was repeated
   * @throws IllegalStateException if the index is not after the last one
   */
  public CommandResult apply(long entryIndex, Proposal proposal) {
    if (entryIndex <= index) {
      throw new IllegalStateException("entry " + entryIndex + " after " + index);
    }
    index = entryIndex;
    logTimeMillis = Math.max(logTimeMillis, proposal.proposedAtMillis());
    RetainedResult earlier = retainedResults.get(proposal.id());
    if (earlier != null) {
      return earlier.result();
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
    if (!exclusion.excluded()) {
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
      RetainedResult oldest = oldestFirst.next();
      if (retainedResults.size() <= MAX_RETAINED_RESULTS
          && oldest.logTimeMillis() + RESULT_RETENTION_MILLIS >= logTimeMillis) {
        return;
      }
      oldestFirst.remove();
    }
  }

  /** The result of a proposal of this id, null if there was none or it is not retained. */
  public CommandResult retainedResult(String id) {
    RetainedResult retained = retainedResults.get(id);
    return retained == null ? null : retained.result();
  }

  /** The last log index that was applied, 0 for none. */
  public long index() {
    return index;
  }

  /** Ids of the excluded cache servers, sorted. */
  public List<String> excludedServers() {
    return List.copyOf(excludedServers);
  }

  /** The whole state. */
  public Snapshot snapshot() {
    return new Snapshot(
        index, logTimeMillis, excludedServers(), List.copyOf(retainedResults.values()));
  }

  /** Replaces the state by that of a snapshot. */
  public void restore(Snapshot snapshot) {
    index = snapshot.index();
    logTimeMillis = snapshot.logTimeMillis();
    excludedServers.clear();
    excludedServers.addAll(snapshot.excludedServers());
    retainedResults.clear();
    snapshot.retainedResults().forEach(retained -> retainedResults.put(retained.id(), retained));
  }
}
