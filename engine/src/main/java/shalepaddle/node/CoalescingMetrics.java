package shalepaddle.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import shalepaddle.coalescing.CoalescingSnapshot;

/**
 * Request coalescing as Micrometer meters. Nothing is counted here: each meter reads what {@link
 * LoadBalancer#coalescingSnapshot} published last, from any thread.
 *
 * <table>
 * <caption>Meters</caption>
 * <tr><td>{@code shalepaddle.joining.reads}</td><td>reads; tag {@code as}: {@code first} began a
 *     flight, {@code joined} joined one, {@code alone} found no capacity</td></tr>
 * <tr><td>{@code shalepaddle.joining.shared}</td><td>reads served by another's attempt</td></tr>
 * <tr><td>{@code shalepaddle.joining.left}</td><td>callers that left while others waited</td></tr>
 * <tr><td>{@code shalepaddle.joining.retried}</td><td>failed attempts that were retried; {@code .spent}
 *     those that were not, for lack of retry budget</td></tr>
 * <tr><td>{@code shalepaddle.joining.open}, {@code .waiting}</td><td>flights, callers now</td></tr>
 * </table>
 */
public final class CoalescingMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.joining.";
  private static final CoalescingSnapshot NONE = new CoalescingSnapshot(0, 0, 0, 0, 0, 0, 0, 0, 0);

  private final Supplier<CoalescingSnapshot> latest;
  private final Tags tags;

  /**
   * Meters of one load balancer.
   *
   * @param latest the newest snapshot, from any thread; null where reads are not coalesced, which
   *     is shown as zeros
   * @param tags distinguish this load balancer's meters from another's in the same registry
   */
  public CoalescingMetrics(Supplier<CoalescingSnapshot> latest, Tags tags) {
    this.latest = latest;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    SnapshotMeters<CoalescingSnapshot> meters = new SnapshotMeters<>(registry, PREFIX, this::read);
    meters.counter("reads", "reads", tags.and("as", "first"), CoalescingSnapshot::flights);
    meters.counter("reads", "reads", tags.and("as", "joined"), CoalescingSnapshot::joined);
    meters.counter("reads", "reads", tags.and("as", "alone"), CoalescingSnapshot::uncoalesced);
    meters.counter("shared", "reads", tags, CoalescingSnapshot::shared);
    meters.counter("left", "reads", tags, CoalescingSnapshot::left);
    meters.counter("retried", "tries", tags, CoalescingSnapshot::retried);
    meters.counter("spent", "tries", tags, CoalescingSnapshot::retriesDenied);
    meters.gauge("open", "flights", tags, CoalescingSnapshot::openFlights);
    meters.gauge("waiting", "reads", tags, CoalescingSnapshot::waiters);
  }

  private CoalescingSnapshot read() {
    CoalescingSnapshot snapshot = latest.get();
    return snapshot == null ? NONE : snapshot;
  }
}
