package shalepaddle.simulation;

import java.util.List;

/**
 * The result of a simulated scenario.
 *
 * @param plan the scenario
 * @param violations descriptions of all rule violations and leaks; empty if the scenario passed
 * @param requests number of requests started
 * @param servedRequests number of requests served
 * @param refusedRequests number of requests refused
 * @param failedRequests number of requests that failed
 * @param closeRaces number of requests resent because their connection was closed just after they
 *     were sent
 * @param originFetches number of fetches from the origin
 * @param sharedReads number of reads served with the response to another read's attempt
 * @param p99Micros 99th percentile of the latency of served requests, in microseconds
 * @param digest a hash over all results and their times; the same in every run of the same code
 */
public record ScenarioReport(
    ScenarioPlan plan,
    List<String> violations,
    int requests,
    int servedRequests,
    int refusedRequests,
    int failedRequests,
    int closeRaces,
    int originFetches,
    long sharedReads,
    long p99Micros,
    long digest) {

  /** Whether the scenario passed without any violation or leak. */
  public boolean passed() {
    return violations.isEmpty();
  }
}
