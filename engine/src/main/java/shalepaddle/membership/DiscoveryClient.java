package shalepaddle.membership;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import shalepaddle.loop.LoopClock;
import shalepaddle.loop.Timers;

/**
 * Follows discovery's list of cache servers in one of two modes. Where the list is polled, each
 * {@link #follow} makes one call, and each failure is reported. Where it is pushed, a watch is kept
 * open: a call that ends is made again after a backoff.
 *
 * <p>On the event loop alone.
 */
public final class DiscoveryClient implements MemberSource {
  /** The longest time-out of a call to an agent, which runs on the node's own machine. */
  private static final long MAX_AGENT_TIMEOUT_MILLIS = 1000;

  /** The shortest time-out and backoff: limits the rate of calls where the grace is short. */
  private static final long MIN_AGENT_TIMEOUT_MILLIS = 200;

  private static final long CONNECT_TIMEOUT_MILLIS = 2000;
  private static final long BACKOFF_MILLIS = 500;

  private final Bootstrap bootstrap;
  private final EventLoop loop;
  private final Timers timers;
  private final LoopClock clock;
  private final boolean isPolled;

  /**
   * The time-out of a connect to an agent and of its answer, and the longest backoff. An agent
   * answers at once, or not at all while discovery is down. The grace of a drain begins when the
   * agent gets the list, so a time-out and the backoff together have to fit into it: half of the
   * grace each.
   */
  private final long agentTimeoutMillis;

  private final MemberListener listener;
  private InetSocketAddress address;

  /** The version of the list that is known. */
  private long version;

  /** The call that is open, null for none. */
  private DiscoveryCall call;

  private boolean stopped = true;

  /**
   * A client that makes no call yet.
   *
   * @param bootstrap opens connections on the loop
   * @param isPolled whether each call is made by {@link #follow}, and each failure reported; else a
   *     watch is kept open from the first {@link #follow} on
   * @param graceSeconds for how long requests may be sent to a draining server, 0 for no such limit
   * @param version the version of the list that is known
   */
  public DiscoveryClient(
      Bootstrap bootstrap,
      EventLoop loop,
      Timers timers,
      LoopClock clock,
      InetSocketAddress address,
      boolean isPolled,
      double graceSeconds,
      long version,
      MemberListener listener) {
    this.bootstrap = bootstrap;
    this.loop = loop;
    this.timers = timers;
    this.clock = clock;
    this.address = address;
    this.isPolled = isPolled;
    this.agentTimeoutMillis =
        graceSeconds > 0 ? agentTimeoutMillis(graceSeconds) : MAX_AGENT_TIMEOUT_MILLIS;
    this.version = version;
    this.listener = listener;
  }

  private static long agentTimeoutMillis(double graceSeconds) {
    long halfGraceMillis = (long) (graceSeconds * 500);
    return Math.max(MIN_AGENT_TIMEOUT_MILLIS, Math.min(MAX_AGENT_TIMEOUT_MILLIS, halfGraceMillis));
  }

  /**
   * Makes a call, unless one is open: that one is queued at the service and would lose its place.
   */
  @Override
  public void follow() {
    stopped = false;
    if (call == null) {
      call =
          new DiscoveryCall(bootstrap, loop, timers, clock, address, version, limits(), observer());
    }
  }

  private DiscoveryCall.Limits limits() {
    return isPolled
        ? DiscoveryCall.Limits.ofPoll(CONNECT_TIMEOUT_MILLIS)
        : DiscoveryCall.Limits.ofWatch(agentTimeoutMillis);
  }

  private DiscoveryCall.Observer observer() {
    return new DiscoveryCall.Observer() {
      @Override
      public void onList(MemberList list) {
        version = list.full() ? list.version() : Math.max(version, list.version());
        listener.onList(list);
      }

      @Override
      public void onEnd(DiscoveryCall ended, DiscoveryCall.End end) {
        callEnded(ended, end);
      }
    };
  }

  /**
   * Goes on with the service at this address, at once: changes known to the old one may never come,
   * and its last failure says nothing of the new one.
   */
  public void switchTo(InetSocketAddress next) {
    if (!next.equals(address)) {
      address = next;
      stop();
      follow();
    }
  }

  @Override
  public void stop() {
    stopped = true;
    if (call != null) {
      call.close();
      call = null;
    }
  }

  private void callEnded(DiscoveryCall ended, DiscoveryCall.End end) {
    if (ended == call) {
      call = null;
    }
    // An agent closes its watches when it restarts: a new call is made without a report.
    if (isPolled || !end.isConnectionClosed()) {
      listener.onFailure(end.reason());
    }
    if (!isPolled) {
      long backoffMillis = end.mayRetryAtOnce() ? 0 : Math.min(BACKOFF_MILLIS, agentTimeoutMillis);
      loop.schedule(
          () -> {
            if (!stopped) {
              follow();
            }
          },
          backoffMillis,
          TimeUnit.MILLISECONDS);
    }
  }
}
