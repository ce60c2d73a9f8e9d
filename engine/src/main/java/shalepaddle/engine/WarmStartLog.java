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
 * The outcomes of this process's latest attempts, for a process that takes its place, and their
 * replay there.
 *
 * <p>The design is event sourcing: observations are handed over, not the policy's conclusions. The
 * new process's policy is notified of them, with the times at which they were made, before its
 * first request, and draws its own conclusions about servers, the origin and cached keys. So two
 * versions of the program need not agree on internal figures.
 *
 * <p>Bounded to {@value #MAX_OBSERVATIONS} observations no older than {@value #MAX_AGE_SECONDS}
 * seconds. Thread-safe.
 */
public final class WarmStartLog {
  /** Observations that are retained. */
  public static final int MAX_OBSERVATIONS = 2048;

  /** Older observations say nothing of the present state of servers and caches. */
  static final double MAX_AGE_SECONDS = 10;

  private final ArrayDeque<Observation> latest = new ArrayDeque<>();

  /** One more attempt has ended. */
  synchronized void add(Observation observation) {
    latest.addLast(observation);
    while (latest.size() > MAX_OBSERVATIONS
        || observation.endedAt() - latest.peekFirst().endedAt() > MAX_AGE_SECONDS) {
      latest.removeFirst();
    }
  }

  /** All that is retained now, in the order in which the attempts ended. */
  public synchronized List<Observation> all() {
    return List.copyOf(latest);
  }

  /**
   * Observations of another process, in this one's time. Each process sets its clock by the wall
   * clock as it starts, and that may have been stepped since: observations from the future, or from
   * long ago, are moved so that the last ended just now.
   *
   * @param nowSeconds this process's time, in seconds since 1970
   */
  static List<Observation> inTime(double nowSeconds, List<Observation> observations) {
    double lastEnd =
        observations.stream().mapToDouble(Observation::endedAt).max().orElse(nowSeconds);
    double age = nowSeconds - lastEnd;
    if (age >= 0 && age <= MAX_AGE_SECONDS) {
      return observations;
    }
    return observations.stream()
        .map(each -> new Observation(each.endedAt() + age, each.request(), each.outcome()))
        .toList();
  }

  /**
   * Notifies a policy that has observed nothing yet of what another process observed.
   *
   * @param known the server list
   * @param observations in the order in which they ended
   */
  static void replay(RequestRouter router, MembershipUpdate known, List<Observation> observations) {
    List<Observation> bySendTime = new ArrayList<>(observations);
    bySendTime.sort(Comparator.comparingDouble(Observation::sentAt));
    router.onMembershipUpdate(bySendTime.get(0).sentAt(), known);
    PriorityQueue<InFlight> inFlight =
        new PriorityQueue<>(Comparator.comparingDouble(InFlight::endedAt));
    long number = 0;
    for (Observation next : bySendTime) {
      // An attempt that ends at the time at which another is sent ends first.
      endUntil(router, inFlight, next.sentAt());
      Request request = withId(next.request(), "~" + number++);
      router.observeAttempt(next.sentAt(), request, next.outcome().server());
      inFlight.add(new InFlight(next.endedAt(), withId(next.outcome(), request.id())));
    }
    endUntil(router, inFlight, Double.POSITIVE_INFINITY);
  }

  /** An attempt that the policy knows of, and how it will end. */
  private record InFlight(double endedAt, Outcome outcome) {}

  private static void endUntil(
      RequestRouter router, PriorityQueue<InFlight> inFlight, double until) {
    while (!inFlight.isEmpty() && inFlight.peek().endedAt() <= until) {
      InFlight ended = inFlight.poll();
      router.onOutcome(ended.endedAt(), ended.outcome());
    }
  }

  /** With an id of its own; all of them have ended before the first request of a client. */
  private static Request withId(Request request, String id) {
    return new Request(
        id,
        request.key(),
        request.serviceClass(),
        request.tenant(),
        request.budgetSeconds(),
        request.workSeconds(),
        request.sizeBytes(),
        request.retry(),
        request.write());
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
