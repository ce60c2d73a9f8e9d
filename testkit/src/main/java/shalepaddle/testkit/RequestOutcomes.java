package shalepaddle.testkit;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ToLongFunction;

/** The results of requests as their clients saw them, in the order in which they ended. */
final class RequestOutcomes {
  /** The result of a request as its client saw it, for the checks at the end. */
  record Outcome(
      Traffic.RequestClass requestClass,
      String target,
      String result,
      long endedAtNanos,
      String receipt) {}

  private final Map<String, Outcome> outcomes = new LinkedHashMap<>();

  /** Records the result of the request with this id. */
  void put(String id, Outcome outcome) {
    outcomes.put(id, outcome);
  }

  /**
   * Compares all results with the effects at servers.
   *
   * @param endNoticedNanosOf returns the time at which the load balancer noticed the end of a
   *     request
   * @param maxAttemptDelayNanos how long after the noticed end of a request an attempt that was
   *     already on its way to a server may still arrive
   * @param violationRecorder receives a description of each violation
   */
  void check(
      EffectLog effectLog,
      ToLongFunction<Outcome> endNoticedNanosOf,
      long maxAttemptDelayNanos,
      Consumer<String> violationRecorder) {
    for (var outcomeEntry : outcomes.entrySet()) {
      String id = outcomeEntry.getKey();
      Outcome outcome = outcomeEntry.getValue();
      EffectLog.Entry entry = effectLog.entryOf(id);
      String prefix = id + " (" + outcome.requestClass().name() + " at " + outcome.target() + ") ";
      if (entry.effectCount() > 1) {
        violationRecorder.accept(prefix + "took effect " + entry.effectCount() + " times");
      }
      if (outcome.result().equals("refused")
          && outcome.requestClass().isWrite()
          && entry.effectCount() > 0) {
        violationRecorder.accept(prefix + "was refused and took effect");
      }
      if (outcome.receipt() != null && !outcome.receipt().equals(entry.receipt())) {
        violationRecorder.accept(
            prefix
                + "was served with write receipt "
                + outcome.receipt()
                + ", expected "
                + entry.receipt());
      }
      long endNoticedNanos = endNoticedNanosOf.applyAsLong(outcome);
      for (EffectLog.Arrival arrival : entry.arrivals()) {
        if (arrival.atNanos() - endNoticedNanos > maxAttemptDelayNanos) {
          violationRecorder.accept(
              prefix
                  + "was sent to "
                  + arrival.serverId()
                  + " "
                  + (arrival.atNanos() - endNoticedNanos) / 1_000_000
                  + " ms after it had ended ("
                  + outcome.result()
                  + ")");
        }
      }
    }
  }

  /** A hash over the results of all requests and their times, to compare runs. */
  long digest() {
    long digest = 7;
    for (var outcomeEntry : outcomes.entrySet()) {
      digest = 31 * digest + outcomeEntry.getKey().hashCode();
      digest = 31 * digest + outcomeEntry.getValue().result().hashCode();
      digest = 31 * digest + outcomeEntry.getValue().endedAtNanos();
    }
    return digest;
  }

  /** The ids of all requests that have ended. */
  Set<String> endedRequestIds() {
    return Collections.unmodifiableSet(outcomes.keySet());
  }

  /** Name of the load balancer that a request was sent to; null if the request is unknown. */
  String targetOf(String id) {
    Outcome outcome = outcomes.get(id);
    return outcome == null ? null : outcome.target();
  }
}
