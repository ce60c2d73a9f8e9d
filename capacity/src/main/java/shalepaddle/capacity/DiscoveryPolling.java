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
 * Simulates an outage of discovery in virtual time, in seconds. All hollow nodes start within one
 * second while discovery is down, poll it for the endpoint list, and must get the list after its
 * return. Discovery processes one call at a time.
 */
final class DiscoveryPolling {
  /** The time at which discovery returns from the outage. */
  private static final double DISCOVERY_RETURN_SECONDS = 8;

  /** How long a call may be queued before discovery rejects it (assumed). */
  private static final double MAX_QUEUE_SECONDS = 2;

  /** Seconds after discovery's return at which the simulation ends even if nodes lack the list. */
  private static final double MAX_RECOVERY_SECONDS = 3600;

  /**
   * The result of a simulation.
   *
   * @param medianRecoverySeconds the time from discovery's return until half of the nodes have the
   *     list, or infinity if fewer nodes ever have it
   * @param maxRecoverySeconds the time from discovery's return until the last node has the list, or
   *     infinity if a node never has it
   * @param callsPerNode mean number of calls per node, from the start to the end of the simulation
   */
  record Result(double medianRecoverySeconds, double maxRecoverySeconds, double callsPerNode) {}

  /** Decides when one node polls discovery. */
  interface PollingClient {
    void onMembershipUpdate(double now, MembershipUpdate update);

    void onTimer(double now, long token);
  }

  /** Creates the polling client of a node. */
  interface PollingClientFactory {
    PollingClient create(int node, RoutingActions actions);
  }

  /**
   * A scheduled event.
   *
   * @param token the token of the node's timer, or one of the negative tokens below
   */
  private record Event(double atSeconds, int node, long token) {}

  /** A call that is queued at discovery. */
  private record Call(double queuedAtSeconds, int node) {}

  /** Token of the event that discovery has answered the node's call. */
  private static final long CALL_ANSWERED_TOKEN = -1;

  /** Token of the event that the node learns of the failure of its call. */
  private static final long CALL_FAILED_TOKEN = -2;

  /** Token of the event that the node starts. */
  private static final long NODE_STARTS_TOKEN = -3;

  /** Seconds from the failure of a call until the node learns of the failure. */
  private static final double FAILURE_DELAY_SECONDS = 0.001;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>((a, b) -> Double.compare(a.atSeconds, b.atSeconds));
  private final ArrayDeque<Call> queuedCalls = new ArrayDeque<>();
  private final List<PollingClient> clients = new ArrayList<>();
  private final MembershipUpdate fullList;
  private final double callsPerSecond;
  private double now;
  private boolean isProcessingCall;
  private long callCount;

  private DiscoveryPolling(
      FleetSize size, double callsPerSecond, PollingClientFactory clientFactory) {
    this.callsPerSecond = callsPerSecond;
    this.fullList =
        new MembershipUpdate(
            MembershipUpdate.Kind.FULL, 1, List.of(HollowSettings.createEntry(0, size, 0)));
    for (int node = 0; node < size.nodes(); node++) {
      clients.add(clientFactory.create(node, new ClientActions(node)));
    }
  }

  /** Returns a factory of polling clients that are production routers. */
  static PollingClientFactory routerClients(FleetSize size) {
    return (node, actions) -> {
      RequestRouter router = new RequestRouter(HollowSettings.of(node, size, true), node, actions);
      return new PollingClient() {
        @Override
        public void onMembershipUpdate(double now, MembershipUpdate update) {
          router.onMembershipUpdate(now, update);
        }

        @Override
        public void onTimer(double now, long token) {
          router.onTimer(now, token);
        }
      };
    };
  }

  /**
   * Simulates one outage of discovery and its recovery.
   *
   * @param callsPerSecond the calls that discovery can answer per second
   */
  static Result simulate(
      FleetSize size, double callsPerSecond, long seed, PollingClientFactory clientFactory) {
    DiscoveryPolling simulation = new DiscoveryPolling(size, callsPerSecond, clientFactory);
    SplittableRandom random = new SplittableRandom(seed);
    for (int node = 0; node < size.nodes(); node++) {
      simulation.events.add(new Event(random.nextDouble(), node, NODE_STARTS_TOKEN));
    }
    return simulation.run();
  }

  private Result run() {
    List<Double> listReceivedSeconds = new ArrayList<>();
    boolean[] hasList = new boolean[clients.size()];
    while (listReceivedSeconds.size() < clients.size()
        && now < DISCOVERY_RETURN_SECONDS + MAX_RECOVERY_SECONDS) {
      Event event = events.poll();
      now = event.atSeconds;
      if (event.token == NODE_STARTS_TOKEN) {
        clients
            .get(event.node)
            .onMembershipUpdate(
                now, new MembershipUpdate(MembershipUpdate.Kind.CACHED, 1, fullList.entries()));
      } else if (event.token == CALL_ANSWERED_TOKEN) {
        isProcessingCall = false;
        if (!hasList[event.node]) {
          hasList[event.node] = true;
          listReceivedSeconds.add(now - DISCOVERY_RETURN_SECONDS);
          clients.get(event.node).onMembershipUpdate(now, fullList);
        }
        startNextCall();
      } else if (event.token == CALL_FAILED_TOKEN) {
        clients
            .get(event.node)
            .onMembershipUpdate(
                now, new MembershipUpdate(MembershipUpdate.Kind.FAILED, 1, List.of()));
      } else {
        clients.get(event.node).onTimer(now, event.token);
      }
    }
    double notReached = Double.POSITIVE_INFINITY;
    return new Result(
        listReceivedSeconds.size() > clients.size() / 2
            ? listReceivedSeconds.get(clients.size() / 2)
            : notReached,
        listReceivedSeconds.size() == clients.size()
            ? listReceivedSeconds.get(listReceivedSeconds.size() - 1)
            : notReached,
        (double) callCount / clients.size());
  }

  private void receiveCall(int node) {
    callCount++;
    if (now < DISCOVERY_RETURN_SECONDS) {
      scheduleFailure(node);
      return;
    }
    queuedCalls.add(new Call(now, node));
    if (!isProcessingCall) {
      startNextCall();
    }
  }

  /** Rejects calls that were queued for too long, and starts to process the next call. */
  private void startNextCall() {
    while (!queuedCalls.isEmpty() && now - queuedCalls.peek().queuedAtSeconds > MAX_QUEUE_SECONDS) {
      scheduleFailure(queuedCalls.poll().node);
    }
    Call call = queuedCalls.poll();
    if (call != null) {
      isProcessingCall = true;
      events.add(new Event(now + 1 / callsPerSecond, call.node, CALL_ANSWERED_TOKEN));
    }
  }

  private void scheduleFailure(int node) {
    events.add(new Event(now + FAILURE_DELAY_SECONDS, node, CALL_FAILED_TOKEN));
  }

  /** Carries out the actions of one node's polling client. */
  private final class ClientActions extends NoOpRoutingActions {
    private final int node;

    ClientActions(int node) {
      this.node = node;
    }

    @Override
    public void subscribe(boolean isSubscribed) {
      if (isSubscribed) {
        receiveCall(node);
      }
    }

    @Override
    public void scheduleTimer(long token, double delaySeconds) {
      events.add(new Event(now + delaySeconds, node, token));
    }
  }
}
