package shalepaddle.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Follows the list of servers and keeps asking for it where it must be asked. */
final class ServerRegistry {
  Settings settings;
  private final RoutingActions actions;
  private final SplittableRandom random;
  final TreeMap<Long, ServerHealth> servers = new TreeMap<>();
  private final ServerStartTimes starts;

  /** Since when an operator leaves servers out, also such as the list lacks for now. */
  private final Map<Long, Double> excluded = new HashMap<>();

  private boolean subscribed;
  private double callAt = Double.POSITIVE_INFINITY;
  int failures;

  ServerRegistry(Settings settings, RoutingActions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
    this.starts = new ServerStartTimes(settings.contract().slowStartSeconds());
  }

  /** Rule 3: the servers that may get something new, which the list calls ready, by id. */
  List<ServerHealth> ready() {
    return servers.values().stream()
        .filter(s -> s.entry.state() == ServerEntry.State.READY && !excluded(s))
        .toList();
  }

  boolean excluded(ServerHealth server) {
    return excluded.containsKey(server.id);
  }

  /** A server put back counts as just started: it was, or its start may be told yet. */
  void exclude(double now, long id, boolean out) {
    Double since = out ? excluded.putIfAbsent(id, now) : excluded.remove(id);
    ServerHealth server = servers.get(id);
    if (!out && since != null && server != null && starts.of(id) <= since) {
      starts.restarted(now, id);
      put(now, server.entry);
    }
  }

  /** Takes news of the list in. */
  void apply(double now, MembershipUpdate update) {
    switch (update.kind()) {
      case FAILED -> {
        // The list service is small and shared: back off with jitter so that balancers whose
        // calls failed together do not come back together, yet never as long as askWithin.
        subscribed = false;
        failures = Math.min(failures + 1, 8);
        double longest =
            Math.max(
                settings.contract().maxPollIntervalSeconds() * 0.4,
                settings.timerResolutionSeconds());
        double pause = Math.min(longest, 0.25 * Math.pow(2, failures));
        callIn(now, pause * (0.5 + 0.5 * random.nextDouble()));
      }
      case FULL, CACHED, DELTA -> {
        if (update.kind() != MembershipUpdate.Kind.DELTA) {
          servers.keySet().retainAll(update.serverIds());
        }
        starts.learn(now, update);
        update.entries().forEach(entry -> put(now, entry));
        if (update.kind() != MembershipUpdate.Kind.CACHED) {
          subscribed = true;
          failures = 0;
        } else if (settings.pollsEndpointList()) {
          // Restarted balancers start together: spread their first calls by a little.
          callIn(now, Math.min(0.02 * settings.instances(), 0.5) * random.nextDouble());
        }
      }
    }
  }

  private void put(double now, ServerEntry entry) {
    if (entry.state() == ServerEntry.State.GONE) {
      servers.remove(entry.id());
    } else {
      servers
          .computeIfAbsent(entry.id(), id -> new ServerHealth(entry, now, settings))
          .listed(entry, starts.of(entry.id()), now);
    }
  }

  private void callIn(double now, double delay) {
    callAt = now + delay;
    actions.scheduleTimer(RequestRouter.FEED_TOKEN, delay);
  }

  /** The feed's timer came due. */
  void timer(double now) {
    if (!subscribed && settings.pollsEndpointList() && now + 1e-6 >= callAt) {
      actions.subscribe(true);
      // A call whose answer never comes must not leave this balancer silent.
      callIn(
          now,
          Math.max(
              settings.contract().maxPollIntervalSeconds() * 0.8,
              settings.timerResolutionSeconds()));
    }
  }
}
