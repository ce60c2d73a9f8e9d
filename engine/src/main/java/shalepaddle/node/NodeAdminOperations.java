package shalepaddle.node;

import io.netty.channel.EventLoop;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import shalepaddle.admin.AdminOperations;
import shalepaddle.admin.Telemetry;

/** What the operators' door leads to: published readings, and commands for the request loop. */
final class NodeAdminOperations implements AdminOperations {
  private final EventLoop loop;
  private final LoadBalancer balancer;
  private final BooleanSupplier ready;

  NodeAdminOperations(EventLoop loop, LoadBalancer balancer, BooleanSupplier ready) {
    this.ready = ready;
    this.loop = loop;
    this.balancer = balancer;
  }

  @Override
  public boolean isReady() {
    return ready.getAsBoolean();
  }

  @Override
  public Telemetry telemetry() {
    return balancer.telemetry();
  }

  @Override
  public Revocable exclude(String member, boolean out, Consumer<Result> done) {
    // Whoever sets it first has the command: the loop to carry it out, or the caller to call it
    // off.
    AtomicBoolean claimed = new AtomicBoolean();
    try {
      loop.execute(
          () -> {
            if (claimed.compareAndSet(false, true)) {
              done.accept(
                  balancer.exclusions().setExcluded(member, out)
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
