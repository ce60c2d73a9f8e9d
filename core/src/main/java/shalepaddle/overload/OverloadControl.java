package shalepaddle.overload;

import java.util.List;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import shalepaddle.model.Settings;

/**
 * All decisions on a load balancer's own overload in one place: fed with what is measured of the
 * process, asked about each request and for the {@link DegradationPolicy}.
 *
 * <p>Three things follow from a delay that stands in the event loop, from the outside in: requests
 * are admitted by their worth, {@link AdmissionController}; connections that send the most are read
 * from by turns, {@link DegradationPolicy#heavyReaderRatio}; and what has been read waits in the
 * {@link AdmissionQueue}, whose oldest item counts as delay too. Memory and descriptors have
 * answers of their own.
 *
 * <p>Time is an argument, in nanoseconds. Not thread-safe: it belongs to one event loop.
 */
public final class OverloadControl {
  /** The answer to a request that is admitted. */
  public static final long ADMITTED = -1;

  /** Added to the advice of a refusal whose client has tried before, as far as is known. */
  public static final long RETRY_FLAG = 1L << 40;

  private Settings settings;
  private final OverloadConfig tuning;
  private PriorityTiers tiers;
  private final OverloadMeter meter;
  private final AdmissionController admission;
  private TenantQuotas shares;
  private final RetryInference guess = new RetryInference();
  private DegradationPolicy degradationPolicy = DegradationPolicy.CALM;
  private double onConnectionSlotUsage;
  private double stood;
  private double processor = Double.NaN;
  private double memory;
  private double descriptors;

  /**
   * All is calm.
   *
   * @param seed for what is refused by chance
   * @param listener is told of changes of a level
   */
  public OverloadControl(
      Settings settings, OverloadConfig tuning, long seed, OverloadMeter.Listener listener) {
    this.tuning = tuning;
    admission = new AdmissionController(tuning, seed);
    meter = new OverloadMeter(listener);
    updateSettings(settings);
  }

  /**
   * From now on these classes and tenants hold. The limit on all requests together is kept, as what
   * the process can do is the same; how it is dealt out is learned anew within some intervals. An
   * {@link #newAdmissionQueue} that was made before goes by the old tiers.
   */
  public void updateSettings(Settings next) {
    settings = next;
    tiers = new PriorityTiers(next.services(), next.overQuotaWeightRatio());
    admission.resetTiers(tiers.count());
    shares = new TenantQuotas(next.tenants(), next.instances());
  }

  /** A queue for what was admitted and waits for its turn. */
  public <T> AdmissionQueue<T> newAdmissionQueue(int most, Consumer<T> refused) {
    return new AdmissionQueue<>(
        tiers.count(), most, (long) (tuning.maxQueueSeconds() * 1e9), refused);
  }

  /**
   * A turn of the event loop ends.
   *
   * @param begunAt when it began, now for one in which nothing had come
   * @param oldest how long the oldest item has waited in the {@link AdmissionQueue}, 0 if none
   *     waits
   */
  public void onLoopTurnEnd(long begunAt, long now, long oldest) {
    double ended =
        meter.onLoopTurnEnd(Math.min(begunAt, now - oldest), now, admission.isLimiting());
    if (!Double.isNaN(ended)) {
      stood = ended;
      admission.onIntervalEnd(ended, now);
      pose();
    }
  }

  /** The process did not run for so many nanoseconds, until now. */
  public void onEventLoopStall(long nanos, long now) {
    meter.onEventLoopStall(nanos, now);
  }

  /**
   * So much is in use, each as a part of its limit; to be told some times in 100 ms.
   *
   * @param processorShare of the cores that the process may use, NaN if unknown: told on, and never
   *     a reason to refuse, since a process that uses all it has and is on time serves everybody
   * @param memoryShare of the heap or of the memory outside of it, whichever is higher
   * @param descriptorShare of the file descriptors
   */
  public void onResourceUsage(
      double processorShare, double memoryShare, double descriptorShare, long now) {
    processor = processorShare;
    memory = memoryShare;
    descriptors = descriptorShare;
    meter.onResourceUsage(memoryShare, descriptorShare, now);
    pose();
  }

  private void pose() {
    degradationPolicy =
        DegradationPolicy.of(
            level(Resource.CPU), level(Resource.MEMORY), level(Resource.DESCRIPTORS));
  }

  /** Whether requests may be refused now. */
  public boolean isShedding() {
    return admission.isLimiting() || onConnectionSlotUsage >= ConnectionSlotReservation.LEAST_FROM;
  }

  /** Of the connections that clients may hold for requests, this part waits for answers now. */
  public void onConnectionSlotUsage(double taken) {
    onConnectionSlotUsage = tuning.isSheddingEnabled() ? taken : 0;
  }

  /**
   * A request has come.
   *
   * @param serviceClass the place of its class in the settings; one past the last has been dropped
   *     and is admitted, for the moment in which its clients hear of that
   * @param tenant the place of its tenant there, -1 for none that is known
   * @param subject a hash of its key
   * @param marked whether its client marked it as a repeat
   * @return {@link #ADMITTED}, or in how many milliseconds its client should come again, 0 for no
   *     advice, with {@link #RETRY_FLAG} added where it has come again
   */
  public long admit(int serviceClass, int tenant, long subject, boolean marked, long now) {
    if (serviceClass >= settings.services().size()) {
      return ADMITTED;
    }
    boolean pastShare = shares.isOverQuota(tenant, now);
    int tier = tiers.of(serviceClass, marked, pastShare);
    if (ConnectionSlotReservation.rejects(tier, tiers.count(), onConnectionSlotUsage)) {
      return retryAfterMillis() + (marked ? RETRY_FLAG : 0);
    }
    if (!admission.isLimiting()) {
      // Counted, and a repeat is of no matter yet: nothing was refused here.
      admission.admit(tier, marked);
      return ADMITTED;
    }
    boolean repeat =
        marked
            || (!settings.clientsMarkRetries() && guess.isLikelyRetry(subject, serviceClass, now));
    if (admission.admit(tiers.of(serviceClass, repeat, pastShare), repeat)) {
      return ADMITTED;
    }
    if (!settings.clientsMarkRetries()) {
      guess.recordRejection(subject, serviceClass, now);
    }
    return retryAfterMillis() + (repeat ? RETRY_FLAG : 0);
  }

  /** Milliseconds for which a client that is refused now should stay away, 0 for no advice. */
  public long retryAfterMillis() {
    return settings.limits().sendsRetryAfter()
        ? Math.round(
            1e3 * Math.min(settings.limits().maxRetryAfterSeconds(), admission.retryAfterSeconds()))
        : 0;
  }

  /** The tier of an admitted request, for its place in the intake; the last one if unknown. */
  public int tier(String serviceClass, boolean repeat) {
    for (int i = 0; i < settings.services().size(); i++) {
      if (settings.services().get(i).name().equals(serviceClass)) {
        return tiers.of(i, repeat, false);
      }
    }
    return tiers.count() - 1;
  }

  /** What to do without now. */
  public DegradationPolicy degradationPolicy() {
    return degradationPolicy;
  }

  /** How short the process is of this. */
  public PressureLevel level(Resource resource) {
    return meter.level(resource);
  }

  /** What an operator may want to see, as it stands now. */
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
        stood,
        processor,
        memory,
        descriptors,
        admission.limitPerSecond(),
        admission.rejectedRetryCount(),
        each);
  }
}
