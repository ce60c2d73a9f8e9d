package shalepaddle.codec.meta;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * The service classes and tenants that requests may specify, for all connections of one front. The
 * index of a name is its index in the settings; recently removed classes follow the last class of
 * the settings. Owned by the event loop.
 */
final class RequestNames {
  private NameTable classes;
  private NameTable tenants;
  private List<String> currentClasses;

  /** Classes that were removed but are still accepted. */
  private List<String> removedClasses = List.of();

  /** When removed classes are no longer accepted, by the loop's clock. */
  private long removedClassesExpireAtNanos;

  RequestNames(Settings settings) {
    apply(settings);
  }

  private void apply(Settings settings) {
    currentClasses = settings.services().stream().map(Settings.ServiceClass::name).toList();
    tenants = new NameTable(settings.tenants().stream().map(Settings.Tenant::name).toList());
    List<String> acceptedClasses = new ArrayList<>(currentClasses);
    acceptedClasses.addAll(removedClasses);
    classes = new NameTable(acceptedClasses);
  }

  /**
   * Accepts the names in these settings from now on. Classes that are removed by the settings are
   * accepted until they expire, since some of their clients may not know the settings yet.
   */
  void update(Settings settings, long now, long expireAtNanos) {
    List<String> formerClasses = new ArrayList<>(currentClasses);
    if (now - removedClassesExpireAtNanos < 0) {
      formerClasses.addAll(removedClasses);
    }
    settings.services().forEach(service -> formerClasses.remove(service.name()));
    removedClasses = List.copyOf(formerClasses);
    removedClassesExpireAtNanos = expireAtNanos;
    apply(settings);
  }

  /** Stops accepting removed classes that have expired. */
  void expireRemovedClasses(long now) {
    if (!removedClasses.isEmpty() && now - removedClassesExpireAtNanos >= 0) {
      removedClasses = List.of();
      classes = new NameTable(currentClasses);
    }
  }

  NameTable classes() {
    return classes;
  }

  NameTable tenants() {
    return tenants;
  }
}
