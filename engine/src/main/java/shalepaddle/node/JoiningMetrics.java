package shalepaddle.node;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.binder.MeterBinder;
import java.util.function.Supplier;
import shalepaddle.joining.JoiningReading;

/**
 * The joining of like reads as Micrometer meters. Nothing is counted here: each meter reads what
 * {@link LoadBalancer#joining} published last, from any thread.
 *
 * <table>
 * <caption>Meters</caption>
 * <tr><td>{@code shalepaddle.joining.reads}</td><td>reads; tag {@code as}: {@code first} began a
 *     flight, {@code joined} joined one, {@code alone} found no room</td></tr>
 * <tr><td>{@code shalepaddle.joining.shared}</td><td>reads served by another's try</td></tr>
 * <tr><td>{@code shalepaddle.joining.left}</td><td>callers that left while others waited</td></tr>
 * <tr><td>{@code shalepaddle.joining.retried}</td><td>broken tries made again; {@code .spent} those
 *     that were not for want of earned tries</td></tr>
 * <tr><td>{@code shalepaddle.joining.open}, {@code .waiting}</td><td>flights, callers now</td></tr>
 * </table>
 */
public final class JoiningMetrics implements MeterBinder {
  private static final String PREFIX = "shalepaddle.joining.";
  private static final JoiningReading NOTHING = new JoiningReading(0, 0, 0, 0, 0, 0, 0, 0, 0);

  private final Supplier<JoiningReading> reading;
  private final Tags tags;

  /**
   * Meters of one load balancer.
   *
   * @param reading the newest reading, from any thread; null where reads are not joined, which is
   *     shown as nothing done
   * @param tags tell this load balancer's meters from another's in the same registry
   */
  public JoiningMetrics(Supplier<JoiningReading> reading, Tags tags) {
    this.reading = reading;
    this.tags = tags;
  }

  @Override
  public void bindTo(MeterRegistry registry) {
    ReadingMeters<JoiningReading> meters = new ReadingMeters<>(registry, PREFIX, this::read);
    meters.counter("reads", "reads", tags.and("as", "first"), JoiningReading::flights);
    meters.counter("reads", "reads", tags.and("as", "joined"), JoiningReading::joined);
    meters.counter("reads", "reads", tags.and("as", "alone"), JoiningReading::alone);
    meters.counter("shared", "reads", tags, JoiningReading::shared);
    meters.counter("left", "reads", tags, JoiningReading::left);
    meters.counter("retried", "tries", tags, JoiningReading::retried);
    meters.counter("spent", "tries", tags, JoiningReading::spent);
    meters.gauge("open", "flights", tags, JoiningReading::open);
    meters.gauge("waiting", "reads", tags, JoiningReading::waiting);
  }

  private JoiningReading read() {
    JoiningReading now = reading.get();
    return now == null ? NOTHING : now;
  }
}
