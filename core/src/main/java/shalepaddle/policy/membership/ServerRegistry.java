package shalepaddle.policy.membership;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;
import shalepaddle.policy.health.ServerHealth;
import shalepaddle.policy.health.ServerStartTimes;

/**
 * Follows the endpoint list: which servers are listed, which are ready, and which an operator has
 * excluded. Polls for the list where it is not pushed.
 *
 * <p>Times are in seconds. Not thread-safe: owned by one router.
 */
public final class ServerRegistry {
  private static final double INITIAL_BACKOFF_SECONDS = 0.25;

  private static final int MAX_BACKOFF_DOUBLINGS = 8;

  /** The longest backoff, as a fraction of {@link Settings.Contract#maxPollIntervalSeconds}. */
  private static final double MAX_BACKOFF_RATIO = 0.4;

  /**
   * The time after which an unanswered poll is repeated, as a fraction of {@link
   * Settings.Contract#maxPollIntervalSeconds}.
   */
  private static final double POLL_TIMEOUT_RATIO = 0.8;

  private static final double MAX_INITIAL_SPREAD_SECONDS = 0.5;

  private static final double SPREAD_PER_INSTANCE_SECONDS = 0.02;

  private static final double TIMER_TOLERANCE_SECONDS = 1e-6;

  private final MembershipSubscription subscription;
  private final SplittableRandom random;
  private final TreeMap<Long, ServerHealth> servers = new TreeMap<>();
  private final ServerStartTimes startTimes;

  /** When an operator excluded each server, by id; may contain servers that are not listed. */
  private final Map<Long, Double> excludedSinceSeconds = new HashMap<>();

  private Settings settings;
  private boolean isSubscribed;
  private double pollAtSeconds = Double.POSITIVE_INFINITY;
  private int consecutiveFailures;

  /** Creates a registry without servers. */
  public ServerRegistry(
      Settings settings, MembershipSubscription subscription, SplittableRandom random) {
    this.settings = settings;
    this.subscription = subscription;
    this.random = random;
    this.startTimes = new ServerStartTimes(settings.contract().slowStartSeconds());
  }

  /** Applies new settings to later polls and resets the backoff. */
  public void updateSettings(Settings newSettings) {
    settings = newSettings;
    consecutiveFailures = 0;
  }

  /** All listed servers, by id. */
  public Collection<ServerHealth> servers() {
    return servers.values();
  }

  /** The server with this id; null if it is not listed. */
  public ServerHealth server(long id) {
    return servers.get(id);
  }

  /** The servers that may get new requests: listed as ready and not excluded, by id. */
  public List<ServerHealth> readyServers() {
    return servers.values().stream()
        .filter(server -> server.entry().state() == ServerEntry.State.READY && !isExcluded(server))
        .toList();
  }

  /** Whether an operator has excluded the server. */
  public boolean isExcluded(ServerHealth server) {
    return excludedSinceSeconds.containsKey(server.id());
  }

  /**
   * Excludes a server on an operator's behalf, or includes it again. An included server counts as
   * just started unless a start during the exclusion is listed: it may have been restarted, and the
   * list may not show this yet.
   */
  public void setExcluded(double nowSeconds, long id, boolean isExcluded) {
    Double excludedAtSeconds =
        isExcluded
            ? excludedSinceSeconds.putIfAbsent(id, nowSeconds)
            : excludedSinceSeconds.remove(id);
    ServerHealth server = servers.get(id);
    if (!isExcluded
        && excludedAtSeconds != null
        && server != null
        && startTimes.startedAtSeconds(id) <= excludedAtSeconds) {
      startTimes.markRestarted(nowSeconds, id);
      put(nowSeconds, server.entry());
    }
  }

  /** Applies an update of the endpoint list or the failure of a poll. */
  public void apply(double nowSeconds, MembershipUpdate update) {
    switch (update.kind()) {
      case FAILED -> onFailure(nowSeconds);
      case FULL, CACHED, DELTA -> {
        if (update.kind() != MembershipUpdate.Kind.DELTA) {
          servers.keySet().retainAll(update.serverIds());
        }
        startTimes.learn(nowSeconds, update);
        update.entries().forEach(entry -> put(nowSeconds, entry));
        if (update.kind() != MembershipUpdate.Kind.CACHED) {
          isSubscribed = true;
          consecutiveFailures = 0;
        } else if (settings.pollsEndpointList()) {
          // Load balancers that were restarted together spread their first polls.
          double spreadSeconds =
              Math.min(
                  SPREAD_PER_INSTANCE_SECONDS * settings.instances(), MAX_INITIAL_SPREAD_SECONDS);
          schedulePoll(nowSeconds, spreadSeconds * random.nextDouble());
        }
      }
    }
  }

  /**
   * Schedules the next poll with exponential backoff and jitter. The discovery service is small and
   * shared, and load balancers whose polls failed together must not retry together.
   */
  private void onFailure(double nowSeconds) {
    isSubscribed = false;
    consecutiveFailures = Math.min(consecutiveFailures + 1, MAX_BACKOFF_DOUBLINGS);
    double maxBackoffSeconds =
        Math.max(
            settings.contract().maxPollIntervalSeconds() * MAX_BACKOFF_RATIO,
            settings.timerResolutionSeconds());
    double backoffSeconds =
        Math.min(maxBackoffSeconds, INITIAL_BACKOFF_SECONDS * Math.pow(2, consecutiveFailures));
    schedulePoll(nowSeconds, backoffSeconds * (0.5 + 0.5 * random.nextDouble()));
  }

  private void put(double nowSeconds, ServerEntry entry) {
    if (entry.state() == ServerEntry.State.REMOVED) {
      servers.remove(entry.id());
    } else {
      servers
          .computeIfAbsent(entry.id(), id -> new ServerHealth(entry, nowSeconds, settings))
          .onListed(entry, startTimes.startedAtSeconds(entry.id()), nowSeconds);
    }
  }

  private void schedulePoll(double nowSeconds, double delaySeconds) {
    pollAtSeconds = nowSeconds + delaySeconds;
    subscription.scheduleTimer(delaySeconds);
  }

  /** Handles a scheduled timer that is due. */
  public void onTimer(double nowSeconds) {
    if (!isSubscribed
        && settings.pollsEndpointList()
        && nowSeconds + TIMER_TOLERANCE_SECONDS >= pollAtSeconds) {
      subscription.subscribe();
      // This timer repeats a poll that is never answered, so that this load balancer still gets a
      // list.
      schedulePoll(
          nowSeconds,
          Math.max(
              settings.contract().maxPollIntervalSeconds() * POLL_TIMEOUT_RATIO,
              settings.timerResolutionSeconds()));
    }
  }
}
