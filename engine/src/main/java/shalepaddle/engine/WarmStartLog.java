package shalepaddle.engine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.policy.RequestRouter;

/**
 * Records the outcomes of this process's latest attempts for a process that replaces it, and
 * replays them there.
 *
 * <p>The design is event sourcing: observations are handed over, not the policy's conclusions. The
 * policy of the new process is notified of them, with their original times, before its first
 * request, and derives its own state of servers, the origin and cached keys. Different versions of
 * the program therefore need not agree on internal figures.
 *
 * <p>Bounded to {@value #MAX_OBSERVATIONS} observations no older than {@value #MAX_AGE_SECONDS}
 * seconds. Thread-safe.
 */
public final class WarmStartLog {
  /** The maximum number of observations that are retained. */
  public static final int MAX_OBSERVATIONS = 2048;

  /** Observations that are older do not reflect the present state of servers and caches. */
  static final double MAX_AGE_SECONDS = 10;

  private final ArrayDeque<Observation> latestObservations = new ArrayDeque<>();

  /** Adds the observation of an attempt that has ended. */
  synchronized void add(Observation observation) {
    latestObservations.addLast(observation);
    while (latestObservations.size() > MAX_OBSERVATIONS
        || observation.endedAtSeconds() - latestObservations.peekFirst().endedAtSeconds()
            > MAX_AGE_SECONDS) {
      latestObservations.removeFirst();
    }
  }

  /** The retained observations, in the order in which the attempts ended. */
  public synchronized List<Observation> observations() {
    return List.copyOf(latestObservations);
  }

  /**
   * Converts observations of another process to this process's time. Each process sets its clock by
   * the wall clock when it starts, and the wall clock may have been stepped since: observations
   * from the future or older than {@value #MAX_AGE_SECONDS} seconds are shifted so that the last
   * one ended now.
   *
   * @param nowSeconds this process's time, in seconds since 1970
   */
  static List<Observation> rebaseTimes(double nowSeconds, List<Observation> observations) {
    double lastEndSeconds =
        observations.stream().mapToDouble(Observation::endedAtSeconds).max().orElse(nowSeconds);
    double ageSeconds = nowSeconds - lastEndSeconds;
    if (ageSeconds >= 0 && ageSeconds <= MAX_AGE_SECONDS) {
      return observations;
    }
    return observations.stream()
        .map(
            observation ->
                new Observation(
                    observation.endedAtSeconds() + ageSeconds,
                    observation.request(),
                    observation.outcome()))
        .toList();
  }

  /**
   * Replays another process's observations to a policy that has not observed anything yet.
   *
   * @param lastUpdate the last known server list
   * @param observations the observations, in the order in which their attempts ended
   */
  static void replay(
      RequestRouter router, MembershipUpdate lastUpdate, List<Observation> observations) {
    List<Observation> bySendTime = new ArrayList<>(observations);
    bySendTime.sort(Comparator.comparingDouble(Observation::sentAtSeconds));
    router.onMembershipUpdate(bySendTime.get(0).sentAtSeconds(), lastUpdate);
    PriorityQueue<ReplayedAttempt> inFlightAttempts =
        new PriorityQueue<>(Comparator.comparingDouble(ReplayedAttempt::endedAtSeconds));
    long requestNumber = 0;
    for (Observation observation : bySendTime) {
      // If an attempt ends at the same time as another is sent, the end is replayed first.
      endUntil(router, inFlightAttempts, observation.sentAtSeconds());
      Request request = withId(observation.request(), "~" + requestNumber++);
      router.observeAttempt(observation.sentAtSeconds(), request, observation.outcome().server());
      inFlightAttempts.add(
          new ReplayedAttempt(
              observation.endedAtSeconds(), withId(observation.outcome(), request.id())));
    }
    endUntil(router, inFlightAttempts, Double.POSITIVE_INFINITY);
  }

  /** A replayed attempt in flight: when it will end, and with which outcome. */
  private record ReplayedAttempt(double endedAtSeconds, Outcome outcome) {}

  private static void endUntil(
      RequestRouter router, PriorityQueue<ReplayedAttempt> inFlightAttempts, double untilSeconds) {
    while (!inFlightAttempts.isEmpty()
        && inFlightAttempts.peek().endedAtSeconds() <= untilSeconds) {
      ReplayedAttempt endedAttempt = inFlightAttempts.poll();
      router.onOutcome(endedAttempt.endedAtSeconds(), endedAttempt.outcome());
    }
  }

  /** Copies a request with a new id. All replayed requests end before the first client request. */
  private static Request withId(Request request, String id) {
    return new Request(
        id,
        request.key(),
        request.serviceClass(),
        request.tenant(),
        request.budgetSeconds(),
        request.workSeconds(),
        request.sizeBytes(),
        request.isRetry(),
        request.isWrite());
  }

  private static Outcome withId(Outcome outcome, String id) {
    return new Outcome(
        id,
        0,
        outcome.server(),
        outcome.result(),
        outcome.elapsedSeconds(),
        outcome.stalledSeconds(),
        true,
        outcome.cacheStatus(),
        outcome.load());
  }
}
