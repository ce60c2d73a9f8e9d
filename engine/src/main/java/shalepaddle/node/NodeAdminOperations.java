package shalepaddle.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import shalepaddle.admin.AdminOperations;
import shalepaddle.admin.Telemetry;

/**
 * Answers the admin server's calls from published snapshots, and runs its commands on the event
 * loop. Thread-safe.
 */
final class NodeAdminOperations implements AdminOperations {
  private final EventLoop loop;
  private final LoadBalancer balancer;
  private final BooleanSupplier isNodeReady;

  NodeAdminOperations(EventLoop loop, LoadBalancer balancer, BooleanSupplier isNodeReady) {
    this.isNodeReady = isNodeReady;
    this.loop = loop;
    this.balancer = balancer;
  }

  @Override
  public boolean isReady() {
    return isNodeReady.getAsBoolean();
  }

  @Override
  public Telemetry telemetry() {
    return balancer.telemetry();
  }

  @Override
  public Revocable setExcluded(String member, boolean isExcluded, Consumer<Result> onResult) {
    // The flag is set by the event loop, which then runs the command, or by the revoking caller.
    AtomicBoolean isClaimed = new AtomicBoolean();
    try {
      loop.execute(
          () -> {
            if (isClaimed.compareAndSet(false, true)) {
              onResult.accept(
                  balancer.exclusions().setExcluded(member, isExcluded)
                      ? Result.DONE
                      : Result.UNKNOWN_MEMBER);
            }
          });
    } catch (RejectedExecutionException e) {
      isClaimed.set(true);
      onResult.accept(Result.UNAVAILABLE);
    }
    return () -> isClaimed.compareAndSet(false, true);
  }
}
