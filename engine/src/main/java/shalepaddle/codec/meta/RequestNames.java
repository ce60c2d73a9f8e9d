package shalepaddle.codec.meta;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * The service classes and tenants that requests may name, for all connections of one front. The
 * index of a name is that in the settings; classes that were removed lately come behind the last.
 * Owned by the event loop.
 */
final class RequestNames {
  private NameTable classes;
  private NameTable tenants;
  private List<String> current;

  /** Classes that were removed and are still accepted. */
  private List<String> removed = List.of();

  /** Until when, by the loop's clock. */
  private long removedExpireAtNanos;

  RequestNames(Settings settings) {
    apply(settings);
  }

  private void apply(Settings settings) {
    current = settings.services().stream().map(Settings.ServiceClass::name).toList();
    tenants = new NameTable(settings.tenants().stream().map(Settings.Tenant::name).toList());
    List<String> all = new ArrayList<>(current);
    all.addAll(removed);
    classes = new NameTable(all);
  }

  /**
   * Accepts these names from now on, and those that are removed until they expire: their clients
   * have not all been notified.
   */
  void update(Settings settings, long now, long expireAtNanos) {
    List<String> before = new ArrayList<>(current);
    if (now - removedExpireAtNanos < 0) {
      before.addAll(removed);
    }
    settings.services().forEach(service -> before.remove(service.name()));
    removed = List.copyOf(before);
    removedExpireAtNanos = expireAtNanos;
    apply(settings);
  }

  /** Accepts removed classes no longer, if they have expired. */
  void expireRemoved(long now) {
    if (!removed.isEmpty() && now - removedExpireAtNanos >= 0) {
      removed = List.of();
      classes = new NameTable(current);
    }
  }

  NameTable classes() {
    return classes;
  }

  NameTable tenants() {
    return tenants;
  }
}
