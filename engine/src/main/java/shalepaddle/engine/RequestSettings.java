package shalepaddle.engine;

import java.util.List;
import shalepaddle.model.Settings;

/**
 * The deployment's settings as far as the engine applies them itself: to requests that are accepted
 * from now on. What is open keeps those under which it was accepted. Owned by the event loop's
 * thread.
 */
final class RequestSettings {
  private static final double MIN_TICK_SECONDS = 0.001;
  private static final double MAX_TICK_SECONDS = 0.01;

  private Settings settings;

  RequestSettings(Settings settings) {
    this.settings = settings;
  }

  /** From now on these settings apply. */
  void replace(Settings next) {
    settings = next;
  }

  /** How often a request may be written to servers. */
  int maxAttempts() {
    return settings.limits().maxAttempts();
  }

  /** What running a request of this class more than once does; of unknown classes the worst. */
  Settings.Idempotency idempotency(String serviceClass) {
    for (Settings.ServiceClass known : settings.services()) {
      if (known.name().equals(serviceClass)) {
        return known.idempotency();
      }
    }
    return Settings.Idempotency.NOT_IDEMPOTENT;
  }

  /** The names of the service classes. */
  List<String> serviceNames() {
    return settings.services().stream().map(Settings.ServiceClass::name).toList();
  }

  /** How long after a server is known to be draining it may still be sent requests. */
  long drainGraceNanos() {
    return nanos(settings.contract().drainGraceSeconds());
  }

  /** The settings' tick, within bounds that suit a real clock. */
  static long tickNanos(Settings settings) {
    return (long)
        (1e9
            * Math.max(
                MIN_TICK_SECONDS, Math.min(MAX_TICK_SECONDS, settings.timerResolutionSeconds())));
  }

  /** Seconds as nanoseconds. */
  static long nanos(double seconds) {
    return (long) (seconds * 1e9);
  }
}
