package shalepaddle.engine;

import java.util.List;
import shalepaddle.model.Settings;

/**
 * The settings that the engine itself applies to newly accepted requests. Open requests keep the
 * settings under which they were accepted. Owned by the event loop's thread.
 */
final class RequestSettings {
  private static final double MIN_TICK_SECONDS = 0.001;
  private static final double MAX_TICK_SECONDS = 0.01;

  private Settings settings;

  RequestSettings(Settings settings) {
    this.settings = settings;
  }

  /** Replaces the settings for requests that are accepted from now on. */
  void replace(Settings newSettings) {
    settings = newSettings;
  }

  /** How many times a request may be written to servers. */
  int maxAttempts() {
    return settings.limits().maxAttempts();
  }

  /** Whether an attempt may be sent while another one of the same request may still run. */
  boolean allowsParallelAttempts() {
    return settings.limits().allowsParallelAttempts();
  }

  /** The effect of repeating a request of this class; an unknown class is not idempotent. */
  Settings.Idempotency idempotency(String serviceClass) {
    for (Settings.ServiceClass knownClass : settings.services()) {
      if (knownClass.name().equals(serviceClass)) {
        return knownClass.idempotency();
      }
    }
    return Settings.Idempotency.NOT_IDEMPOTENT;
  }

  /** The names of the service classes. */
  List<String> serviceNames() {
    return settings.services().stream().map(Settings.ServiceClass::name).toList();
  }

  /** How long requests may still be sent to a server after it is known to be draining. */
  long drainGraceNanos() {
    return toNanos(settings.contract().drainGraceSeconds());
  }

  /** The timer resolution of the settings, limited to a range that suits a real clock. */
  static long tickNanos(Settings settings) {
    return (long)
        (1e9
            * Math.max(
                MIN_TICK_SECONDS, Math.min(MAX_TICK_SECONDS, settings.timerResolutionSeconds())));
  }

  /** Converts seconds to nanoseconds. */
  static long toNanos(double seconds) {
    return (long) (seconds * 1e9);
  }
}
