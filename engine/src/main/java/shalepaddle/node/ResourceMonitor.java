package shalepaddle.node;

import io.netty.channel.EventLoop;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import shalepaddle.engine.Dispatcher;
import shalepaddle.front.ClientFront;
import shalepaddle.loop.Log;
import shalepaddle.loop.LoopClock;
import shalepaddle.overload.OverloadControl;
import shalepaddle.overload.OverloadMeter;
import shalepaddle.overload.Resource;
import shalepaddle.upstream.ServerPools;

/**
 * Measures periodically how much of its limits the process uses, reports it to the overload
 * control, publishes the snapshots, and closes connections that have been idle for too long. On the
 * event loop alone, from {@link #start} until {@link #stop}.
 */
final class ResourceMonitor {
  /** From one check for expired connections to the next. */
  private static final long SWEEP_INTERVAL_MILLIS = 100;

  /** From one measurement of resources, and publication of snapshots, to the next. */
  private static final long MEASURE_INTERVAL_NANOS = 25_000_000L;

  /** The shortest time between releases of cached buffers: they have to be allocated again. */
  private static final long MIN_RELEASE_INTERVAL_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Transport transport;
  private final DescriptorBudget descriptors;
  private final ProcessorUse processor;
  private final OverloadControl overload;
  private final Dispatcher dispatcher;
  private final ClientFront front;
  private final ServerPools pools;
  private final SnapshotPublisher snapshots;

  private long releasedAtNanos;
  private boolean closesIdleConnections;
  private boolean stopped;

  ResourceMonitor(
      EventLoop loop,
      LoopClock clock,
      Transport transport,
      DescriptorBudget descriptors,
      ProcessorUse processor,
      OverloadControl overload,
      Dispatcher dispatcher,
      ClientFront front,
      ServerPools pools,
      SnapshotPublisher snapshots) {
    this.loop = loop;
    this.clock = clock;
    this.transport = transport;
    this.descriptors = descriptors;
    this.processor = processor;
    this.overload = overload;
    this.dispatcher = dispatcher;
    this.front = front;
    this.pools = pools;
    this.snapshots = snapshots;
  }

  /** Logs one line for each change of a resource's level. */
  static OverloadMeter.Listener levelLog(Log log) {
    return (resource, before, now, value) -> {
      String cause =
          resource == Resource.CPU
              ? String.format(Locale.ROOT, "%.1f ms stand in the event loop", value * 1e3)
              : String.format(Locale.ROOT, "%.0f%% in use", value * 100);
      log.line("overload: " + resource + " " + before + " -> " + now + ", " + cause);
    };
  }

  void start() {
    scheduleSweep();
    measure();
  }

  void stop() {
    stopped = true;
  }

  /** From now on idle connections to servers are closed at once: a successor needs them. */
  void closeIdleConnections() {
    closesIdleConnections = true;
  }

  private void measure() {
    if (stopped) {
      return;
    }
    Runtime heap = Runtime.getRuntime();
    double heapRatio = (double) (heap.totalMemory() - heap.freeMemory()) / heap.maxMemory();
    double bufferRatio = transport.bufferMemoryRatio();
    long now = clock.now();
    overload.onResourceUsage(
        processor.usedRatio(now),
        Double.isNaN(bufferRatio) ? heapRatio : Math.max(heapRatio, bufferRatio),
        descriptors.usedRatio(front.connectionCount(), pools.connections()),
        now);
    snapshots.publishMetrics();
    if (overload.degradationPolicy().shrinksBuffers()
        && now - releasedAtNanos > MIN_RELEASE_INTERVAL_NANOS) {
      releasedAtNanos = now;
      transport.releaseCachedBuffers();
    }
    dispatcher.timers().runNoEarlierThan(MEASURE_INTERVAL_NANOS, this::measure);
  }

  private void scheduleSweep() {
    loop.schedule(
        () -> {
          clock.refresh();
          clock.whenBacklogRead(this::sweep);
        },
        SWEEP_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void sweep() {
    if (stopped) {
      return;
    }
    scheduleSweep();
    front.closeExpired();
    long maxIdleNanos = closesIdleConnections ? 0 : overload.degradationPolicy().maxIdleNanos();
    pools.closeExpiredIdle(clock.refresh(), maxIdleNanos);
    pools.closeStalled();
  }
}
