package shalepaddle.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.policy.RequestRouter;
import shalepaddle.policy.RoutingActions;

/**
 * What the decisions on a read take at one node, from its arrival to its one outcome, and what a
 * node holds and does for the list, as servers grow in number.
 */
final class DecisionCost {
  /** Reads that are open: what a node of the coming size has in flight. */
  private static final int OPEN = 30;

  private static final int KEYS = 5000;

  /**
   * What was measured.
   *
   * @param heldMicros for a read of what its server holds, the median of the rounds
   * @param missingMicros for a read of what nobody has asked for
   * @param listMillis to take in the whole list anew, the table of slots with it
   */
  record Measured(double heldMicros, double missingMicros, double listMillis) {}

  /** A read to be decided on, and its outcome. */
  interface Decider {
    void membership(double now, MembershipUpdate update);

    void request(double now, Request request);

    void outcome(double now, Outcome outcome);
  }

  /** The decisions of the node. */
  static Decider real(FleetSize size, RoutingActions actions) {
    RequestRouter balancer = new RequestRouter(HollowSettings.of(0, size, false), 1, actions);
    return new Decider() {
      @Override
      public void membership(double now, MembershipUpdate update) {
        balancer.onMembershipUpdate(now, update);
      }

      @Override
      public void request(double now, Request request) {
        balancer.onRequest(now, request);
      }

      @Override
      public void outcome(double now, Outcome outcome) {
        balancer.onOutcome(now, outcome);
      }
    };
  }

  private final String[] ids = new String[OPEN];
  private final long[] sentTo = new long[OPEN];
  private final Decider decider;
  private final double gap;
  private int next;
  private int slot;
  private double now;

  private DecisionCost(FleetSize size, Function<RoutingActions, Decider> deciders) {
    decider = deciders.apply(new Noted());
    gap = size.nodes() / size.perSecond();
  }

  /**
   * Measures one node before the servers of this size.
   *
   * @param reads in each round
   */
  static Measured measure(FleetSize size, int reads, Function<RoutingActions, Decider> deciders) {
    List<ServerEntry> entries = new ArrayList<>();
    for (int server = 0; server < size.servers(); server++) {
      entries.add(HollowSettings.entry(server, size, 0));
    }
    MembershipUpdate list = new MembershipUpdate(MembershipUpdate.Kind.FULL, 1, entries);
    DecisionCost decisions = new DecisionCost(size, deciders);
    decisions.decider.membership(0, list);
    decisions.round(reads, true);
    List<Double> held = new ArrayList<>();
    List<Double> missing = new ArrayList<>();
    List<Double> taken = new ArrayList<>();
    for (int round = 0; round < 5; round++) {
      held.add(decisions.round(reads, true));
      missing.add(decisions.round(reads, false));
      long began = System.nanoTime();
      // A server less and once more, so that the table is made anew.
      decisions.decider.membership(
          decisions.now,
          new MembershipUpdate(
              MembershipUpdate.Kind.FULL, 1, entries.subList(0, entries.size() - 1)));
      decisions.decider.membership(decisions.now, list);
      taken.add((System.nanoTime() - began) / 2e6);
    }
    return new Measured(median(held), median(missing), median(taken));
  }

  static double median(List<Double> values) {
    return values.stream().sorted().skip(values.size() / 2).findFirst().orElseThrow();
  }

  /** Microseconds a read. */
  private double round(int reads, boolean held) {
    long began = System.nanoTime();
    for (int i = 0; i < reads; i++) {
      read(held);
    }
    return (System.nanoTime() - began) / 1e3 / reads;
  }

  private void read(boolean held) {
    slot = next % OPEN;
    if (sentTo[slot] != 0) {
      Outcome.CacheStatus note = held ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS;
      decider.outcome(
          now,
          new Outcome(ids[slot], 0, sentTo[slot], Outcome.Result.OK, OPEN * gap, true, note, null));
    }
    sentTo[slot] = 0;
    now += gap;
    int number = next++;
    ids[slot] = "r" + number;
    String key = held ? "k" + number % KEYS : "m" + number;
    decider.request(now, new Request(ids[slot], key, "read", null, 2, 0, 0, false, false));
  }

  /** Notes where the read of the present slot goes. */
  private final class Noted extends HollowActions {
    @Override
    public void send(String requestId, long server, double within) {
      sentTo[slot] = server;
    }
  }
}
