package shalepaddle.codec.meta;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * The names of classes and tenants that requests may bear, for all connections of one front. A name
 * has its place in the settings; classes that were dropped a moment ago stand behind the last.
 */
final class RequestNames {
  private NameTable classes;
  private NameTable tenants;
  private List<String> current;

  /** Those that were dropped, and until when they are still taken. */
  private List<String> dropped = List.of();

  private long droppedUntil;

  RequestNames(Settings settings) {
    take(settings);
  }

  private void take(Settings settings) {
    current = settings.services().stream().map(Settings.ServiceClass::name).toList();
    tenants = new NameTable(settings.tenants().stream().map(Settings.Tenant::name).toList());
    List<String> all = new ArrayList<>(current);
    all.addAll(dropped);
    classes = new NameTable(all);
  }

  /**
   * Takes these names from now on, and those that are dropped until then: their clients have not
   * all heard of it.
   */
  void retune(Settings settings, long now, long until) {
    List<String> before = new ArrayList<>(current);
    if (now - droppedUntil < 0) {
      before.addAll(dropped);
    }
    settings.services().forEach(service -> before.remove(service.name()));
    dropped = List.copyOf(before);
    droppedUntil = until;
    take(settings);
  }

  /** Forgets what was dropped, where its time is up. */
  void forget(long now) {
    if (!dropped.isEmpty() && now - droppedUntil >= 0) {
      dropped = List.of();
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
