package shalepaddle.overload;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import shalepaddle.model.Settings;

/**
 * Entry point for all decisions on a load balancer's own overload. Receives measurements of the
 * process, decides whether each request is admitted, and provides the {@link DegradationPolicy}.
 *
 * <p>A standing delay of the event loop (its minimum over an interval) has three effects: requests
 * are admitted by their priority, see {@link AdmissionController}; connections that send the most
 * requests are read from in turns, see {@link DegradationPolicy#heavyReaderRatio}; and requests
 * that have been read wait in the {@link AdmissionQueue}, whose oldest item also counts as delay.
 * Shortages of memory and of descriptors have their own measures.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: owned by one event loop.
 */
public final class OverloadControl {
  /** The result of {@link #admit} for an admitted request. */
  public static final long ADMITTED = -1;

  /**
   * A flag that is added to the Retry-After when the rejected request is a retry, marked or
   * inferred. Greater than any Retry-After in milliseconds.
   */
  public static final long RETRY_FLAG = 1L << 40;

  private Settings settings;
  private final OverloadConfig config;
  private PriorityTiers tiers;
  private final OverloadMeter meter;
  private final AdmissionController admissionController;
  private TenantQuotas quotas;
  private final RetryInference retryInference = new RetryInference();
  private DegradationPolicy degradationPolicy = DegradationPolicy.CALM;
  private double connectionSlotRatio;
  private double delaySeconds;
  private double processorRatio = Double.NaN;
  private double memoryRatio;
  private double descriptorRatio;

  /**
   * Creates the control with all pressure levels at their lowest.
   *
   * @param seed seed of random rejections
   * @param listener receives changes of a level
   */
  public OverloadControl(
      Settings settings, OverloadConfig config, long seed, OverloadMeter.Listener listener) {
    this.config = config;
    admissionController = new AdmissionController(config, seed);
    meter = new OverloadMeter(listener);
    updateSettings(settings);
  }

  /**
   * Replaces service classes and tenants. The limit on all requests together stays, since the
   * capacity of the process is unchanged. The rates of the tiers, by which the limit is
   * distributed, are measured again. Queues from {@link #newAdmissionQueue} keep the tiers of the
   * settings at their creation.
   */
  public void updateSettings(Settings newSettings) {
    settings = newSettings;
    tiers = new PriorityTiers(newSettings.services(), newSettings.overQuotaWeightRatio());
    admissionController.resetTiers(tiers.tierCount());
    quotas = new TenantQuotas(newSettings.tenants(), newSettings.instances());
  }

  /** Creates a queue for admitted requests that wait for the event loop. */
  public <T> AdmissionQueue<T> newAdmissionQueue(int maxItems, Consumer<T> onRejected) {
    return new AdmissionQueue<>(
        tiers.tierCount(), maxItems, (long) (config.maxQueueSeconds() * 1e9), onRejected);
  }

  /**
   * Records the end of a turn of the event loop.
   *
   * @param beganAtNanos when the turn began; equal to {@code now} if it had nothing to do
   * @param oldestWaitNanos how long the oldest item has waited in the {@link AdmissionQueue}, 0 if
   *     none waits
   */
  public void onLoopTurnEnd(long beganAtNanos, long now, long oldestWaitNanos) {
    double standingDelaySeconds =
        meter.onLoopTurnEnd(
            Math.min(beganAtNanos, now - oldestWaitNanos), now, admissionController.isLimiting());
    if (!Double.isNaN(standingDelaySeconds)) {
      delaySeconds = standingDelaySeconds;
      admissionController.onIntervalEnd(standingDelaySeconds, now);
      updateDegradationPolicy();
    }
  }

  /** Records a stall of the event loop, in nanoseconds, that ends now. */
  public void onEventLoopStall(long stallNanos, long now) {
    meter.onEventLoopStall(stallNanos, now);
  }

  /**
   * Records the use of each resource as a fraction of its limit; must be called several times per
   * 100 ms.
   *
   * @param processorRatio use of the cores that the process may use, NaN if unknown; only reported,
   *     since a process that uses all of its cores but has no delay need not reject requests
   * @param memoryRatio use of the heap or of off-heap memory, whichever is higher
   * @param descriptorRatio use of the file descriptors
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

  /** Whether requests may be rejected now, due to delay or to the use of client connections. */
  public boolean isShedding() {
    return admissionController.isLimiting()
        || connectionSlotRatio >= ConnectionSlotReservation.MIN_REJECTING_USE_RATIO;
  }

  /** Records which fraction of the connections that clients may open for requests is in use now. */
  public void onConnectionSlotUsage(double usedRatio) {
    connectionSlotRatio = config.isSheddingEnabled() ? usedRatio : 0;
  }

  /**
   * Decides whether a request is admitted.
   *
   * @param serviceClass the index of its class in the settings; an index beyond the last class
   *     belongs to a removed class, whose requests are admitted until its clients know of the
   *     removal
   * @param tenant the index of its tenant in the settings, -1 if unknown
   * @param keyHash a hash of its key
   * @param isMarkedRetry whether its client marked it as a retry
   * @return {@link #ADMITTED}, or the Retry-After of the rejection in milliseconds, 0 for no
   *     advice, plus {@link #RETRY_FLAG} if the request is a retry
   */
  public long admit(int serviceClass, int tenant, long keyHash, boolean isMarkedRetry, long now) {
    if (serviceClass >= settings.services().size()) {
      return ADMITTED;
    }
    boolean isOverQuota = quotas.isOverQuota(tenant, now);
    int tier = tiers.tierOf(serviceClass, isMarkedRetry, isOverQuota);
    if (ConnectionSlotReservation.rejects(tier, tiers.tierCount(), connectionSlotRatio)) {
      return retryAfterMillis() + (isMarkedRetry ? RETRY_FLAG : 0);
    }
    if (!admissionController.isLimiting()) {
      // This call only counts the request. Retries are not inferred before a request is rejected.
      admissionController.admit(tier, isMarkedRetry);
      return ADMITTED;
    }
    boolean isRetry =
        isMarkedRetry
            || (!settings.clientsMarkRetries()
                && retryInference.isLikelyRetry(keyHash, serviceClass, now));
    if (admissionController.admit(tiers.tierOf(serviceClass, isRetry, isOverQuota), isRetry)) {
      return ADMITTED;
    }
    if (!settings.clientsMarkRetries()) {
      retryInference.recordRejection(keyHash, serviceClass, now);
    }
    return retryAfterMillis() + (isRetry ? RETRY_FLAG : 0);
  }

  /** The Retry-After of a rejection now, in milliseconds; 0 for none. */
  public long retryAfterMillis() {
    return settings.limits().sendsRetryAfter()
        ? Math.round(
            1e3
                * Math.min(
                    settings.limits().maxRetryAfterSeconds(),
                    admissionController.retryAfterSeconds()))
        : 0;
  }

  /**
   * The tier of an admitted request, for the admission queue; the lowest if its class is unknown.
   */
  public int tier(String serviceClass, boolean isRetry) {
    for (int i = 0; i < settings.services().size(); i++) {
      if (settings.services().get(i).name().equals(serviceClass)) {
        return tiers.tierOf(i, isRetry, false);
      }
    }
    return tiers.tierCount() - 1;
  }

  /** The current degradation policy. */
  public DegradationPolicy degradationPolicy() {
    return degradationPolicy;
  }

  /** The pressure level of a resource. */
  public PressureLevel level(Resource resource) {
    return meter.level(resource);
  }

  /** The current overload figures for operators. */
  public OverloadSnapshot snapshot() {
    List<OverloadSnapshot.Tier> tierSnapshots =
        IntStream.range(0, tiers.tierCount())
            .mapToObj(
                tier ->
                    new OverloadSnapshot.Tier(
                        admissionController.admittedRatio(tier),
                        admissionController.offeredCount(tier),
                        admissionController.rejectedCount(tier)))
            .toList();
    return new OverloadSnapshot(
        level(Resource.CPU),
        level(Resource.MEMORY),
        level(Resource.DESCRIPTORS),
        delaySeconds,
        processorRatio,
        memoryRatio,
        descriptorRatio,
        admissionController.limitPerSecond(),
        admissionController.rejectedRetryCount(),
        tierSnapshots);
  }
}
