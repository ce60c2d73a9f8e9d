package shalepaddle.node;

import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.Dispatcher;
import shalepaddle.loop.Clock;
import shalepaddle.loop.Log;
import shalepaddle.membership.MemberList;
import shalepaddle.membership.MemberListener;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.upstream.ServerPools;

/**
 * Owns the list of cache servers as this node knows it, and passes each change first to the
 * connections and then to the policy.
 *
 * <p>On the event loop alone, but for {@link #awaitFirstList}.
 */
final class MemberTracker implements MemberListener {
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final Clock time;
  private final Log log;
  private final CountDownLatch firstList = new CountDownLatch(1);

  /** The complete list, null before {@link #apply} ran for the first time. */
  private MemberList current;

  /** The failure logged last, null since the last list. */
  private String loggedFailure;

  MemberTracker(ServerPools pools, Dispatcher dispatcher, Clock time, Log log) {
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.time = time;
    this.log = log;
  }

  @Override
  public void onList(MemberList list) {
    loggedFailure = null;
    apply(list, list.full() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.DELTA);
    firstList.countDown();
  }

  @Override
  public void onFailure(String reason) {
    // Logged once until the next list: while discovery is down it is polled again and again.
    if (!reason.equals(loggedFailure)) {
      loggedFailure = reason;
      log.line("discovery: " + reason);
    }
    dispatcher.membership(new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of()));
  }

  /** Applies a complete list or a change. */
  void apply(MemberList update, MembershipUpdate.Kind kind) {
    MemberList list = update.withKnownDrains(current);
    current = list.appliedTo(current);
    pools.update(list, time.now());
    dispatcher.membership(list.toUpdate(kind));
    pools.failUnroutable();
  }

  /** The complete list, null before the first one. */
  MemberList current() {
    return current;
  }

  /**
   * Waits for the first list from discovery, for at most {@code millis}. From any thread but the
   * event loop.
   */
  void awaitFirstList(long millis) throws InterruptedException {
    // Going on without it is correct: the list of the configuration is used then.
    boolean ignored = firstList.await(millis, TimeUnit.MILLISECONDS);
  }
}
