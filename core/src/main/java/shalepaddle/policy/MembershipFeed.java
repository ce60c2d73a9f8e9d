package shalepaddle.policy;

import java.util.List;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Follows the list of servers and keeps asking for it where it must be asked. */
final class MembershipFeed {
  private final Settings settings;
  private final Actions actions;
  private final SplittableRandom random;
  private final TreeMap<Long, ServerHealth> servers = new TreeMap<>();
  private boolean launched;
  private boolean subscribed;
  private double callAt = Double.POSITIVE_INFINITY;
  private int failures;

  MembershipFeed(Settings settings, Actions actions, SplittableRandom random) {
    this.settings = settings;
    this.actions = actions;
    this.random = random;
  }

  /** All servers of the list that are ready, by id. */
  List<ServerHealth> ready() {
    return servers.values().stream().filter(ServerHealth::ready).toList();
  }

  /** Takes news of the list in. */
  void apply(double now, MembershipUpdate update) {
    switch (update.kind()) {
      case FAILED -> {
        // The list service is small and shared: back off with jitter so that balancers whose
        // calls failed together do not come back together, yet never as long as askWithin.
        subscribed = false;
        failures = Math.min(failures + 1, 8);
        double longest = Math.max(settings.contract().askWithin() * 0.4, settings.tick());
        double pause = Math.min(longest, 0.25 * Math.pow(2, failures));
        callIn(now, pause * (0.5 + 0.5 * random.nextDouble()));
      }
      case FULL, REMEMBERED, CHANGES -> {
        if (update.kind() != MembershipUpdate.Kind.CHANGES) {
          servers
              .keySet()
              .retainAll(
                  update.entries().stream().map(ServerEntry::id).collect(Collectors.toSet()));
        }
        update.entries().forEach(entry -> put(now, entry));
        if (update.kind() != MembershipUpdate.Kind.REMEMBERED) {
          subscribed = true;
          failures = 0;
          callAt = Double.POSITIVE_INFINITY;
        }
      }
    }
    if (!launched) {
      launched = true;
      if (settings.asksForList()) {
        // Restarted balancers start together: spread their first calls by a little.
        callIn(now, Math.min(0.02 * settings.instances(), 0.5) * random.nextDouble());
      }
    }
  }

  private void put(double now, ServerEntry entry) {
    if (entry.state() == ServerEntry.State.GONE) {
      servers.remove(entry.id());
    } else {
      servers
          .computeIfAbsent(entry.id(), id -> new ServerHealth(entry, now, settings))
          .listed(entry, now);
    }
  }

  private void callIn(double now, double delay) {
    callAt = now + delay;
    actions.wake(Balancer.FEED_TOKEN, delay);
  }

  /** The feed's timer came due. */
  void timer(double now) {
    if (!subscribed && settings.asksForList() && now + 1e-6 >= callAt) {
      actions.subscribe(true);
      // A call whose answer never comes must not leave this balancer silent.
      callIn(now, Math.max(settings.contract().askWithin() * 0.8, settings.tick()));
    }
  }
}
