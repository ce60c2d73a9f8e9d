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
  private final BooleanSupplier readiness;

  NodeAdminOperations(EventLoop loop, LoadBalancer balancer, BooleanSupplier readiness) {
    this.readiness = readiness;
    this.loop = loop;
    this.balancer = balancer;
  }

  @Override
  public boolean isReady() {
    return readiness.getAsBoolean();
  }

  @Override
  public Telemetry telemetry() {
    return balancer.telemetry();
  }

  @Override
  public Revocable exclude(String member, boolean excluded, Consumer<Result> done) {
    // Set first by the loop, which then runs the command, or by the caller, who revokes it.
    AtomicBoolean claimed = new AtomicBoolean();
    try {
      loop.execute(
          () -> {
            if (claimed.compareAndSet(false, true)) {
              done.accept(
                  balancer.exclusions().setExcluded(member, excluded)
                      ? Result.DONE
                      : Result.UNKNOWN_MEMBER);
            }
          });
    } catch (RejectedExecutionException e) {
      claimed.set(true);
      done.accept(Result.UNAVAILABLE);
    }
    return () -> claimed.compareAndSet(false, true);
  }
}
