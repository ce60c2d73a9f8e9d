package shalepaddle.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;

/**
 * Follows discovery's list of cache servers in one of two modes. If the list is polled, each {@link
 * #follow} makes one call, and each failure is reported. If it is pushed, a watch stays open: a
 * call that ends is repeated after a backoff.
 *
 * <p>Used on the event loop only.
 */
public final class DiscoveryClient implements MemberSource {
  /** The maximum time-out of a call to an agent, which runs on the node's own machine. */
  private static final long MAX_AGENT_TIMEOUT_MILLIS = 1000;

  /** The minimum time-out and backoff, which limits the rate of calls if the grace is short. */
  private static final long MIN_AGENT_TIMEOUT_MILLIS = 200;

  private static final long CONNECT_TIMEOUT_MILLIS = 2000;
  private static final long BACKOFF_MILLIS = 500;

  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final Timers timers;
  private final LoopClock clock;
  private final boolean isPolled;

  /**
   * The time-out of a connection attempt to an agent and of its response, and the maximum backoff.
   * An agent responds at once, or not at all while discovery is down. The grace of a drain begins
   * when the agent receives the list, so a time-out and a backoff together must not exceed the
   * grace: each is limited to half of the grace.
   */
  private final long agentTimeoutMillis;

  private final MemberListener listener;
  private InetSocketAddress address;

  /** The version of the latest list that was received. */
  private long knownVersion;

  /** The open call, null if there is none. */
  private DiscoveryCall call;

  private boolean isStopped = true;

  /**
   * Creates a client that makes no call yet.
   *
   * @param bootstrap opens connections on the loop
   * @param isPolled whether each {@link #follow} makes one call and each failure is reported; if
   *     not, a watch stays open from the first {@link #follow} on
   * @param graceSeconds how long requests may be sent to a draining server, 0 for no limit
   * @param knownVersion the version of the known list
   */
  public DiscoveryClient(
      Bootstrap bootstrap,
      EventLoop loop,
      Timers timers,
      LoopClock clock,
      InetSocketAddress address,
      boolean isPolled,
      double graceSeconds,
      long knownVersion,
      MemberListener listener) {
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.timers = timers;
    this.clock = clock;
    this.address = address;
    this.isPolled = isPolled;
    this.agentTimeoutMillis =
        graceSeconds > 0 ? agentTimeoutForGrace(graceSeconds) : MAX_AGENT_TIMEOUT_MILLIS;
    this.knownVersion = knownVersion;
    this.listener = listener;
  }

  private static long agentTimeoutForGrace(double graceSeconds) {
    long halfGraceMillis = (long) (graceSeconds * 500);
    return Math.max(MIN_AGENT_TIMEOUT_MILLIS, Math.min(MAX_AGENT_TIMEOUT_MILLIS, halfGraceMillis));
  }

  /**
   * Makes a call, unless one is open: the open call is queued at the service, and a new call would
   * lose the place in the queue.
   */
  @Override
  public void follow() {
    isStopped = false;
    if (call == null) {
      call =
          new DiscoveryCall(
              bootstrap, loop, timers, clock, address, knownVersion, callLimits(), newObserver());
    }
  }

  private DiscoveryCall.Limits callLimits() {
    return isPolled
        ? DiscoveryCall.Limits.ofPoll(CONNECT_TIMEOUT_MILLIS)
        : DiscoveryCall.Limits.ofWatch(agentTimeoutMillis);
  }

  private DiscoveryCall.Observer newObserver() {
    return new DiscoveryCall.Observer() {
      @Override
      public void onList(MemberList list) {
        knownVersion = list.isComplete() ? list.version() : Math.max(knownVersion, list.version());
        listener.onList(list);
      }

      @Override
      public void onEnd(DiscoveryCall endedCall, DiscoveryCall.End end) {
        handleEnd(endedCall, end);
      }
    };
  }

  /**
   * Switches to the service at this address at once, without a backoff: the old service may never
   * deliver its pending changes, and its last failure says nothing about the new service.
   */
  public void switchTo(InetSocketAddress newAddress) {
    if (!newAddress.equals(address)) {
      address = newAddress;
      stop();
      follow();
    }
  }

  @Override
  public void stop() {
    isStopped = true;
    if (call != null) {
      call.close();
      call = null;
    }
  }

  private void handleEnd(DiscoveryCall endedCall, DiscoveryCall.End end) {
    if (endedCall == call) {
      call = null;
    }
    // An agent closes its watches when it restarts, which is not reported as a failure.
    if (isPolled || !end.isConnectionClosed()) {
      listener.onFailure(end.reason());
    }
    if (!isPolled) {
      long backoffMillis = end.mayRetryAtOnce() ? 0 : Math.min(BACKOFF_MILLIS, agentTimeoutMillis);
      loop.schedule(
          () -> {
            if (!isStopped) {
              follow();
            }
          },
          backoffMillis,
          TimeUnit.MILLISECONDS);
    }
  }
}
