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
 * Owns this node's current endpoint list, and passes each change first to the connection pools and
 * then to the policy.
 *
 * <p>Used on the event loop only, except {@link #awaitFirstList}.
 */
final class MemberTracker implements MemberListener {
  private final ServerPools pools;
  private final Dispatcher dispatcher;
  private final Clock nodeClock;
  private final Log log;
  private final CountDownLatch firstListLatch = new CountDownLatch(1);

  /** The complete list, null before the first call of {@link #apply}. */
  private MemberList currentList;

  /** The failure that was logged last, null if a list has arrived since. */
  private String loggedFailure;

  MemberTracker(ServerPools pools, Dispatcher dispatcher, Clock nodeClock, Log log) {
    this.pools = pools;
    this.dispatcher = dispatcher;
    this.nodeClock = nodeClock;
    this.log = log;
  }

  @Override
  public void onList(MemberList list) {
    loggedFailure = null;
    apply(list, list.isComplete() ? MembershipUpdate.Kind.FULL : MembershipUpdate.Kind.DELTA);
    firstListLatch.countDown();
  }

  @Override
  public void onFailure(String reason) {
    // A failure is logged once until the next list: discovery is polled repeatedly while down.
    if (!reason.equals(loggedFailure)) {
      loggedFailure = reason;
      log.writeLine("discovery: " + reason);
    }
    dispatcher.onMembershipUpdate(new MembershipUpdate(MembershipUpdate.Kind.FAILED, 0, List.of()));
  }

  /** Applies a complete list, or a change of the current list. */
  void apply(MemberList update, MembershipUpdate.Kind kind) {
    MemberList list = update.withKnownDrains(currentList);
    currentList = list.appliedTo(currentList);
    pools.update(list, nodeClock.now());
    dispatcher.onMembershipUpdate(list.toUpdate(kind));
    pools.failUnroutable();
  }

  /** The complete list, null before the first call of {@link #apply}. */
  MemberList currentList() {
    return currentList;
  }

  /**
   * Waits for the first list from discovery, for at most {@code timeoutMillis}. May be called from
   * any thread except the event loop.
   */
  void awaitFirstList(long timeoutMillis) throws InterruptedException {
    // A time-out is no failure: the list of the configuration is used then.
    boolean ignored = firstListLatch.await(timeoutMillis, TimeUnit.MILLISECONDS);
  }
}
