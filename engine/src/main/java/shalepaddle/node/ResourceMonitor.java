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
 * Periodically measures the process's resource usage, reports it to overload control, publishes the
 * snapshots, and closes connections that have been idle for too long. Used on the event loop only;
 * active from {@link #start} until {@link #stop}.
 */
final class ResourceMonitor {
  /** The time between checks for expired connections. */
  private static final long SWEEP_INTERVAL_MILLIS = 100;

  /** The time between measurements of resources, after each of which snapshots are published. */
  private static final long MEASURE_INTERVAL_NANOS = 25_000_000L;

  /** The minimum time between releases of cached buffers, which have to be allocated again. */
  private static final long MIN_RELEASE_INTERVAL_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final LoopClock clock;
  private final Transport transport;
  private final DescriptorBudget descriptors;
  private final ProcessorUse processorUse;
  private final OverloadControl overload;
  private final Dispatcher dispatcher;
  private final ClientFront front;
  private final ServerPools pools;
  private final SnapshotPublisher snapshots;

  private long buffersReleasedAtNanos;
  private boolean closesIdleConnections;
  private boolean isStopped;

  ResourceMonitor(
      EventLoop loop,
      LoopClock clock,
      Transport transport,
      DescriptorBudget descriptors,
      ProcessorUse processorUse,
      OverloadControl overload,
      Dispatcher dispatcher,
      ClientFront front,
      ServerPools pools,
      SnapshotPublisher snapshots) {
    this.loop = loop;
    this.clock = clock;
    this.transport = transport;
    this.descriptors = descriptors;
    this.processorUse = processorUse;
    this.overload = overload;
    this.dispatcher = dispatcher;
    this.front = front;
    this.pools = pools;
    this.snapshots = snapshots;
  }

  /** A listener that logs one line for each change of a resource's pressure level. */
  static OverloadMeter.Listener newLevelLog(Log log) {
    return (resource, previousLevel, level, value) -> {
      String cause =
          resource == Resource.CPU
              ? String.format(Locale.ROOT, "%.1f ms queueing delay in the event loop", value * 1e3)
              : String.format(Locale.ROOT, "%.0f%% in use", value * 100);
      log.writeLine("overload: " + resource + " " + previousLevel + " -> " + level + ", " + cause);
    };
  }

  void start() {
    scheduleSweep();
    measureResources();
  }

  void stop() {
    isStopped = true;
  }

  /**
   * From now on closes idle connections to servers at once, so that a successor may open as many:
   * the limits apply to both processes together.
   */
  void closeIdleConnections() {
    closesIdleConnections = true;
  }

  private void measureResources() {
    if (isStopped) {
      return;
    }
    Runtime runtime = Runtime.getRuntime();
    double heapRatio =
        (double) (runtime.totalMemory() - runtime.freeMemory()) / runtime.maxMemory();
    double bufferRatio = transport.bufferMemoryRatio();
    long now = clock.now();
    overload.onResourceUsage(
        processorUse.usedRatio(now),
        Double.isNaN(bufferRatio) ? heapRatio : Math.max(heapRatio, bufferRatio),
        descriptors.usedRatio(front.connectionCount(), pools.connectionCount()),
        now);
    snapshots.publishMetrics();
    if (overload.degradationPolicy().shrinksBuffers()
        && now - buffersReleasedAtNanos > MIN_RELEASE_INTERVAL_NANOS) {
      buffersReleasedAtNanos = now;
      transport.releaseCachedBuffers();
    }
    dispatcher.timers().runNoEarlierThan(MEASURE_INTERVAL_NANOS, this::measureResources);
  }

  private void scheduleSweep() {
    loop.schedule(
        () -> {
          clock.refresh();
          clock.runWhenBacklogRead(this::closeExpiredConnections);
        },
        SWEEP_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void closeExpiredConnections() {
    if (isStopped) {
      return;
    }
    scheduleSweep();
    front.closeExpired();
    long maxIdleNanos = closesIdleConnections ? 0 : overload.degradationPolicy().maxIdleNanos();
    pools.closeExpiredIdle(clock.refresh(), maxIdleNanos);
    pools.closeStalled();
  }
}
