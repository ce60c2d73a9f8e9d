package shalepaddle.simulation;

import java.util.List;

/**
 * How a day went.
 *
 * @param plan what happened on it
 * @param breaches every breach of a rule and every leak, in words; none on a good day
 * @param asked requests that were due
 * @param served requests that were served
 * @param refused requests that were refused
 * @param failed requests that failed
 * @param crossed requests that crossed the end of their connection
 * @param fetches what the origin was asked for
 * @param shared reads served with an answer that another's try brought
 * @param p99Micros the 99th percentile of the time to an answer that served
 * @param digest a figure made of every answer and its time: the same in every run of the same code
 */
public record ScenarioReport(
    ScenarioPlan plan,
    List<String> breaches,
    int asked,
    int served,
    int refused,
    int failed,
    int crossed,
    int fetches,
    long shared,
    long p99Micros,
    long digest) {

  /** Whether nothing broke. */
  public boolean good() {
    return breaches.isEmpty();
  }
}
