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
 * <tr><td>{@code shalepaddle.joining.reads}</td><td>reads; tag {@code as}: {@code first} started a
 *     flight, {@code joined} joined one, {@code alone} was not coalesced since
 *     too many flights were open</td></tr>
 * <tr><td>{@code shalepaddle.joining.shared}</td><td>
 *     reads served by another read's attempt</td></tr>
 * <tr><td>{@code shalepaddle.joining.left}</td><td>
 *     callers that disconnected or expired while others waited</td></tr>
 * <tr><td>{@code shalepaddle.joining.retried}</td><td>
 *     failed attempts that were retried; {@code .spent}
 *     those not retried because the retry budget was spent</td></tr>
 * <tr><td>{@code shalepaddle.joining.open}, {@code .waiting}</td><td>
 *     current flights, waiting callers</td></tr>
 * </table>
 */
public final class CoalescingMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.joining.";
  private static final CoalescingSnapshot ZERO_SNAPSHOT =
      new CoalescingSnapshot(0, 0, 0, 0, 0, 0, 0, 0, 0);

  private final Supplier<CoalescingSnapshot> latestSnapshot;
  private final Tags tags;

  /**
   * Creates the meters of one load balancer.
   *
   * @param latestSnapshot returns the newest snapshot; called from any thread; null if reads are
   *     not coalesced, for which the meters show zeros
   * @param tags distinguish this load balancer's meters from another's in the same registry
   */
  public CoalescingMetrics(Supplier<CoalescingSnapshot> latestSnapshot, Tags tags) {
    this.latestSnapshot = latestSnapshot;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    SnapshotMeters<CoalescingSnapshot> meters =
        new SnapshotMeters<>(registry, PREFIX, this::snapshotOrZero);
    meters.registerCounter(
        "reads", "reads", tags.and("as", "first"), CoalescingSnapshot::startedFlights);
    meters.registerCounter(
        "reads", "reads", tags.and("as", "joined"), CoalescingSnapshot::joinedReads);
    meters.registerCounter(
        "reads", "reads", tags.and("as", "alone"), CoalescingSnapshot::uncoalescedReads);
    meters.registerCounter("shared", "reads", tags, CoalescingSnapshot::sharedAnswers);
    meters.registerCounter("left", "reads", tags, CoalescingSnapshot::departedWaiters);
    meters.registerCounter("retried", "tries", tags, CoalescingSnapshot::retries);
    meters.registerCounter("spent", "tries", tags, CoalescingSnapshot::deniedRetries);
    meters.registerGauge("open", "flights", tags, CoalescingSnapshot::openFlights);
    meters.registerGauge("waiting", "reads", tags, CoalescingSnapshot::waiters);
  }

  private CoalescingSnapshot snapshotOrZero() {
    CoalescingSnapshot snapshot = latestSnapshot.get();
    return snapshot == null ? ZERO_SNAPSHOT : snapshot;
  }
}
