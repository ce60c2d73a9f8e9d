package shalepaddle.overload;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import shalepaddle.model.Settings;

/**
 * All decisions on a load balancer's own overload in one place: fed with what is measured of the
 * process, asked about each request and for the {@link DegradationPolicy}.
 *
 * <p>A standing delay of the event loop (its minimum over an interval) has three effects: requests
 * are admitted by their priority, {@link AdmissionController}; connections that send the most are
 * read from in turns, {@link DegradationPolicy#heavyReaderRatio}; and requests that have been read
 * wait in the {@link AdmissionQueue}, whose oldest item counts as delay too. Memory and descriptors
 * have answers of their own.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: it belongs to one event loop.
 */
public final class OverloadControl {
  /** The answer to a request that is admitted. */
  public static final long ADMITTED = -1;

  /**
   * Added to the Retry-After of a rejection of a retry, marked or inferred. Above any Retry-After
   * in milliseconds.
   */
  public static final long RETRY_FLAG = 1L << 40;

  private Settings settings;
  private final OverloadConfig config;
  private PriorityTiers tiers;
  private final OverloadMeter meter;
  private final AdmissionController admission;
  private TenantQuotas quotas;
  private final RetryInference retryInference = new RetryInference();
  private DegradationPolicy degradationPolicy = DegradationPolicy.CALM;
  private double connectionSlotRatio;
  private double delaySeconds;
  private double processorRatio = Double.NaN;
  private double memoryRatio;
  private double descriptorRatio;

  /**
   * All levels are at their lowest.
   *
   * @param seed of random rejections
   * @param listener is notified of changes of a level
   */
  public OverloadControl(
      Settings settings, OverloadConfig config, long seed, OverloadMeter.Listener listener) {
    this.config = config;
    admission = new AdmissionController(config, seed);
    meter = new OverloadMeter(listener);
    updateSettings(settings);
  }

  /**
   * Replaces service classes and tenants. The limit on all requests together is kept, as the
   * capacity of the process is unchanged; the rates of the tiers, which distribute it, are measured
   * again. Queues of {@link #newAdmissionQueue} keep the tiers of the settings at their creation.
   */
  public void updateSettings(Settings next) {
    settings = next;
    tiers = new PriorityTiers(next.services(), next.overQuotaWeightRatio());
    admission.resetTiers(tiers.count());
    quotas = new TenantQuotas(next.tenants(), next.instances());
  }

  /** A queue for requests that were admitted and wait for the event loop. */
  public <T> AdmissionQueue<T> newAdmissionQueue(int maxItems, Consumer<T> onRejected) {
    return new AdmissionQueue<>(
        tiers.count(), maxItems, (long) (config.maxQueueSeconds() * 1e9), onRejected);
  }

  /**
   * A turn of the event loop has ended.
   *
   * @param beganAtNanos when it began, now for one in which nothing had come
   * @param oldestWaitNanos how long the oldest item has waited in the {@link AdmissionQueue}, 0 if
   *     none waits
   */
  public void onLoopTurnEnd(long beganAtNanos, long now, long oldestWaitNanos) {
    double standingDelaySeconds =
        meter.onLoopTurnEnd(
            Math.min(beganAtNanos, now - oldestWaitNanos), now, admission.isLimiting());
    if (!Double.isNaN(standingDelaySeconds)) {
      delaySeconds = standingDelaySeconds;
      admission.onIntervalEnd(standingDelaySeconds, now);
      updateDegradationPolicy();
    }
  }

  /** The event loop was stalled until now, for a time in nanoseconds. */
  public void onEventLoopStall(long nanos, long now) {
    meter.onEventLoopStall(nanos, now);
  }

  /**
   * The use of each resource, as a fraction of its limit; to be called several times in 100 ms.
   *
   * @param processorRatio of the cores that the process may use, NaN if unknown: reported, and
   *     never a reason to reject, as a process that uses all of it and is on time serves everybody
   * @param memoryRatio of the heap or of the memory outside of it, whichever is higher
   * @param descriptorRatio of the file descriptors
   */
  public void onResourceUsage(
      double processorRatio, double memoryRatio, double descriptorRatio, long now) {
    this.processorRatio = processorRatio;
    this.memoryRatio = memoryRatio;
    this.descriptorRatio = descriptorRatio;
    meter.onResourceUsage(memoryRatio, descriptorRatio, now);
    updateDegradationPolicy();
  }

  private void updateDegradationPolicy() {
    degradationPolicy =
        DegradationPolicy.of(
            level(Resource.CPU), level(Resource.MEMORY), level(Resource.DESCRIPTORS));
  }

  /** Whether requests may be rejected now, for delay or for client connections. */
  public boolean isShedding() {
    return admission.isLimiting()
        || connectionSlotRatio >= ConnectionSlotReservation.MIN_REJECTING_USE_RATIO;
  }

  /** This part of the connections that clients may hold for requests is in use now. */
  public void onConnectionSlotUsage(double usedRatio) {
    connectionSlotRatio = config.isSheddingEnabled() ? usedRatio : 0;
  }

  /**
   * A request has come.
   *
   * @param serviceClass the place of its class in the settings; one past the last has been dropped
   *     and is admitted, for the moment in which its clients hear of that
   * @param tenant the place of its tenant there, -1 for none that is known
   * @param keyHash a hash of its key
   * @param isMarkedRetry whether its client marked it as a retry
   * @return {@link #ADMITTED}, or in how many milliseconds its client should come again, 0 for no
   *     advice, with {@link #RETRY_FLAG} added where it has come again
   */
  public long admit(int serviceClass, int tenant, long keyHash, boolean isMarkedRetry, long now) {
    if (serviceClass >= settings.services().size()) {
      return ADMITTED;
    }
    boolean isOverQuota = quotas.isOverQuota(tenant, now);
    int tier = tiers.of(serviceClass, isMarkedRetry, isOverQuota);
    if (ConnectionSlotReservation.rejects(tier, tiers.count(), connectionSlotRatio)) {
      return retryAfterMillis() + (isMarkedRetry ? RETRY_FLAG : 0);
    }
    if (!admission.isLimiting()) {
      // Counted only; retries need not be told apart before anything is rejected.
      admission.admit(tier, isMarkedRetry);
      return ADMITTED;
    }
    boolean isRetry =
        isMarkedRetry
            || (!settings.clientsMarkRetries()
                && retryInference.isLikelyRetry(keyHash, serviceClass, now));
    if (admission.admit(tiers.of(serviceClass, isRetry, isOverQuota), isRetry)) {
      return ADMITTED;
    }
    if (!settings.clientsMarkRetries()) {
      retryInference.recordRejection(keyHash, serviceClass, now);
    }
    return retryAfterMillis() + (isRetry ? RETRY_FLAG : 0);
  }

  /** Retry-After of a rejection now in milliseconds, 0 for none. */
  public long retryAfterMillis() {
    return settings.limits().sendsRetryAfter()
        ? Math.round(
            1e3 * Math.min(settings.limits().maxRetryAfterSeconds(), admission.retryAfterSeconds()))
        : 0;
  }

  /**
   * The tier of an admitted request, for the admission queue; the lowest if its class is unknown.
   */
  public int tier(String serviceClass, boolean isRetry) {
    for (int i = 0; i < settings.services().size(); i++) {
      if (settings.services().get(i).name().equals(serviceClass)) {
        return tiers.of(i, isRetry, false);
      }
    }
    return tiers.count() - 1;
  }

  /** The degradation policy that holds now. */
  public DegradationPolicy degradationPolicy() {
    return degradationPolicy;
  }

  /** The pressure level of a resource. */
  public PressureLevel level(Resource resource) {
    return meter.level(resource);
  }

  /** What operators see of overload, at this moment. */
  public OverloadSnapshot snapshot() {
    List<OverloadSnapshot.Tier> each =
        IntStream.range(0, tiers.count())
            .mapToObj(
                tier ->
                    new OverloadSnapshot.Tier(
                        admission.admittedRatio(tier),
                        admission.offeredCount(tier),
                        admission.rejectedCount(tier)))
            .toList();
    return new OverloadSnapshot(
        level(Resource.CPU),
        level(Resource.MEMORY),
        level(Resource.DESCRIPTORS),
        delaySeconds,
        processorRatio,
        memoryRatio,
        descriptorRatio,
        admission.limitPerSecond(),
        admission.rejectedRetryCount(),
        each);
  }
}
