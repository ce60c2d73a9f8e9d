package shalepaddle.capacity;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.policy.RequestRouter;
import shalepaddle.policy.RoutingActions;

/**
 * Hollow nodes that ask one discovery for the list, which works through calls in turn: all of them
 * start within a second while it is down, and are to have the list once it is back. Virtual time.
 */
final class DiscoveryPolling {
  /** When discovery is back, in seconds. */
  private static final double BACK = 8;

  /** How long a call may wait for its turn before it is turned away (assumed). */
  private static final double PATIENCE = 2;

  /** When a play is given up, in seconds after discovery is back. */
  private static final double LONGEST = 3600;

  /**
   * What was counted.
   *
   * @param medianSeconds from discovery's return until half of the nodes have the list
   * @param lastSeconds until the last one has it
   * @param callsPerNode calls of each node until then, the mean
   */
  record Counted(double medianSeconds, double lastSeconds, double callsPerNode) {}

  /** What keeps one node asking. */
  interface Feed {
    void told(double now, MembershipUpdate update);

    void timer(double now, long token);
  }

  /** Makes the feed of a node. */
  interface Feeds {
    Feed of(int node, RoutingActions actions);
  }

  private record Event(double at, int node, long token) {}

  /** A call that waits for its turn. */
  private record Call(double since, int node) {}

  /** The service is through with a call; a call has failed; a node starts. */
  private static final long FREE = -1;

  private static final long FAILED = -2;
  private static final long START = -3;

  /** Seconds until a caller learns that its call has failed. */
  private static final double NOTICE = 0.001;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.at, b.at));
  private final ArrayDeque<Call> calls = new ArrayDeque<>();
  private final List<Feed> feeds = new ArrayList<>();
  private final MembershipUpdate known;
  private final double perSecond;
  private double now;
  private boolean busy;
  private long asked;

  private DiscoveryPolling(FleetSize size, double perSecond, Feeds made) {
    this.perSecond = perSecond;
    this.known =
        new MembershipUpdate(
            MembershipUpdate.Kind.FULL, 1, List.of(HollowSettings.entry(0, size, 0)));
    for (int node = 0; node < size.nodes(); node++) {
      feeds.add(made.of(node, new Asks(node)));
    }
  }

  /** The feeds of the node's decisions. */
  static Feeds real(FleetSize size) {
    return (node, actions) -> {
      RequestRouter balancer =
          new RequestRouter(HollowSettings.of(node, size, true), node, actions);
      return new Feed() {
        @Override
        public void told(double now, MembershipUpdate update) {
          balancer.onMembershipUpdate(now, update);
        }

        @Override
        public void timer(double now, long token) {
          balancer.onTimer(now, token);
        }
      };
    };
  }

  /** Plays one return of a discovery that works through so many calls a second. */
  static Counted play(FleetSize size, double perSecond, long seed, Feeds made) {
    DiscoveryPolling asking = new DiscoveryPolling(size, perSecond, made);
    SplittableRandom random = new SplittableRandom(seed);
    for (int node = 0; node < size.nodes(); node++) {
      asking.events.add(new Event(random.nextDouble(), node, START));
    }
    return asking.play();
  }

  private Counted play() {
    List<Double> had = new ArrayList<>();
    boolean[] has = new boolean[feeds.size()];
    while (had.size() < feeds.size() && now < BACK + LONGEST) {
      Event event = events.poll();
      now = event.at;
      if (event.token == START) {
        feeds
            .get(event.node)
            .told(now, new MembershipUpdate(MembershipUpdate.Kind.CACHED, 1, known.entries()));
      } else if (event.token == FREE) {
        busy = false;
        if (!has[event.node]) {
          has[event.node] = true;
          had.add(now - BACK);
          feeds.get(event.node).told(now, known);
        }
        nextCall();
      } else if (event.token == FAILED) {
        feeds
            .get(event.node)
            .told(now, new MembershipUpdate(MembershipUpdate.Kind.FAILED, 1, List.of()));
      } else {
        feeds.get(event.node).timer(now, event.token);
      }
    }
    double never = Double.POSITIVE_INFINITY;
    return new Counted(
        had.size() > feeds.size() / 2 ? had.get(feeds.size() / 2) : never,
        had.size() == feeds.size() ? had.get(had.size() - 1) : never,
        (double) asked / feeds.size());
  }

  private void call(int node) {
    asked++;
    if (now < BACK) {
      failed(node);
      return;
    }
    calls.add(new Call(now, node));
    if (!busy) {
      nextCall();
    }
  }

  /** Those that have waited for too long are turned away, the next one has its turn. */
  private void nextCall() {
    while (!calls.isEmpty() && now - calls.peek().since > PATIENCE) {
      failed(calls.poll().node);
    }
    Call next = calls.poll();
    if (next != null) {
      busy = true;
      events.add(new Event(now + 1 / perSecond, next.node, FREE));
    }
  }

  private void failed(int node) {
    events.add(new Event(now + NOTICE, node, FAILED));
  }

  /** What one node's feed does. */
  private final class Asks extends HollowActions {
    private final int node;

    Asks(int node) {
      this.node = node;
    }

    @Override
    public void subscribe(boolean on) {
      if (on) {
        call(node);
      }
    }

    @Override
    public void scheduleTimer(long token, double delay) {
      events.add(new Event(now + delay, node, token));
    }
  }
}
