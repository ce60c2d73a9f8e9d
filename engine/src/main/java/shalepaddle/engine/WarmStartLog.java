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
 * The last attempts of this process, for one that takes its place; and the way in which that one
 * learns from them.
 *
 * <p>The idea is event sourcing: what is passed on is what was observed, and the decision module
 * that comes to it lives through it again, with the times at which it happened, before its first
 * request. It then knows what the one before knew of servers, the origin and the caches, as far
 * back as this reaches, by its own way of judging. Not taken: passing on what the module has
 * concluded, which ties two versions of the program to the same inner figures.
 *
 * <p>Bounded to {@value #MOST} attempts no older than {@value #SECONDS} seconds. Safe for use by
 * many threads.
 */
public final class WarmStartLog {
  /** Attempts kept: some seconds of a busy node. */
  public static final int MOST = 2048;

  /** Older ones say nothing of how things stand; keys in caches are told from no older ones. */
  static final double SECONDS = 10;

  private final ArrayDeque<Observation> last = new ArrayDeque<>();

  /** One more attempt has ended. */
  synchronized void add(Observation seen) {
    last.addLast(seen);
    while (last.size() > MOST || seen.endedAt() - last.peekFirst().endedAt() > SECONDS) {
      last.removeFirst();
    }
  }

  /** What is recollected now, in the order in which it ended. */
  public synchronized List<Observation> all() {
    return List.copyOf(last);
  }

  /**
   * What another process saw, in this one's time. Each process sets its clock by the wall clock as
   * it starts, and that may have been stepped since: what is told as of the future, or as of long
   * ago, ended just now.
   */
  static List<Observation> inTime(double now, List<Observation> seen) {
    double last = seen.stream().mapToDouble(Observation::endedAt).max().orElse(now);
    double late = now - last;
    if (late >= 0 && late <= SECONDS) {
      return seen;
    }
    return seen.stream()
        .map(each -> new Observation(each.endedAt() + late, each.request(), each.outcome()))
        .toList();
  }

  /**
   * Lets a decision module that has seen nothing yet live through what another process saw.
   *
   * @param known the list of servers
   * @param seen in the order in which it ended
   */
  static void replay(RequestRouter balancer, MembershipUpdate known, List<Observation> seen) {
    List<Observation> sent = new ArrayList<>(seen);
    sent.sort(Comparator.comparingDouble(Observation::sentAt));
    balancer.onMembershipUpdate(sent.get(0).sentAt(), known);
    // What ends in the moment in which another is sent ends first.
    PriorityQueue<Out> out = new PriorityQueue<>(Comparator.comparingDouble(Out::endedAt));
    long number = 0;
    for (Observation next : sent) {
      end(balancer, out, next.sentAt());
      Request request = named(next.request(), "~" + number++);
      balancer.observeAttempt(next.sentAt(), request, next.outcome().server());
      out.add(new Out(next.endedAt(), named(next.outcome(), request.id())));
    }
    end(balancer, out, Double.POSITIVE_INFINITY);
  }

  private record Out(double endedAt, Outcome outcome) {}

  private static void end(RequestRouter balancer, PriorityQueue<Out> out, double until) {
    while (!out.isEmpty() && out.peek().endedAt() <= until) {
      Out ended = out.poll();
      balancer.onOutcome(ended.endedAt(), ended.outcome());
    }
  }

  /** Under an id of its own; all of them have ended before any client's request comes. */
  private static Request named(Request request, String id) {
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

  private static Outcome named(Outcome outcome, String id) {
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
