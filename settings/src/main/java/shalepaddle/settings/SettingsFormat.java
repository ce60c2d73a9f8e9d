package shalepaddle.settings;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * Reads {@link Settings} from JSON: the object that the simulator's first message gives an
 * instance, and that a real node finds in its configuration, with the same names and units. The
 * table of names is in the package's description. Stateless.
 */
public final class SettingsFormat {
  private SettingsFormat() {}

  /**
   * Reads the settings of an instance; what is absent has a default.
   *
   * @throws FormatException if a service class or a tenant has no name
   */
  public static Settings read(JsonObject conf) throws FormatException {
    JsonObject cache = conf.nested("family-info");
    List<String> kinds = conf.texts("kinds");
    return new Settings(
        conf.text("zone", ""),
        conf.texts("azs"),
        kinds,
        (int) conf.number("my-number", 0),
        Math.max(1, (int) conf.number("instances", 1)),
        conf.text("discovery", "push").equals("ask"),
        conf.nested("clients").flag("marks-retry"),
        weights(conf.text("weight-kind", "silent")),
        cacheMode(cache, kinds),
        limits(conf.nested("caps")),
        contract(conf.nested("contract")),
        prices(conf.nested("prices")),
        serviceClasses(conf),
        tenants(conf),
        conf.number("over-share-worth", 1),
        conf.number("period", 0));
  }

  private static Settings.Weights weights(String name) {
    return switch (name) {
      case "nominal" -> Settings.Weights.NOMINAL;
      case "rough" -> Settings.Weights.ROUGH;
      case "live" -> Settings.Weights.LIVE;
      default -> Settings.Weights.NONE;
    };
  }

  private static Settings.CacheMode cacheMode(JsonObject cache, List<String> kinds) {
    int origin = (int) cache.number("origin-kind", -1);
    return new Settings.CacheMode(
        cache.text("mode", "through").equals("aside"),
        origin >= 0 && origin < kinds.size() ? kinds.get(origin) : null,
        cache.number("origin-fall-multiple", 0),
        cache.number("origin-fall", 0));
  }

  private static Settings.Limits limits(JsonObject caps) {
    return new Settings.Limits(
        (int) caps.number("attempts-cap", 1),
        caps.flag("parallel-tries"),
        caps.flag("cancel"),
        caps.flag("probing"),
        caps.flag("may-tell"),
        caps.flag("retry-after"),
        caps.number("max-retry-after", 0),
        caps.number("connect-timeout", 0),
        caps.number("conn-idle", 0),
        (int) caps.number("multiplex", 1));
  }

  private static Settings.Contract contract(JsonObject contract) {
    return new Settings.Contract(
        contract.number("grace-to-answer", 0),
        contract.number("ask-within", 0),
        contract.number("drain-grace", 0),
        contract.number("cold-from", 0),
        contract.number("warm-within", 0),
        contract.number("overload-factor", 0),
        contract.number("overload-for", 0));
  }

  private static Settings.Prices prices(JsonObject prices) {
    return new Settings.Prices(
        prices.number("cross-zone", 0),
        prices.number("waste", 0),
        prices.number("late-fail", 0),
        prices.number("origin", 0),
        prices.number("probe", 0),
        prices.number("handshake", 0),
        prices.number("connection", 0),
        prices.number("peer", 0),
        prices.number("discovery", 0));
  }

  private static List<Settings.ServiceClass> serviceClasses(JsonObject conf)
      throws FormatException {
    List<Settings.ServiceClass> serviceClasses = new ArrayList<>();
    for (JsonObject service : conf.objects("services")) {
      serviceClasses.add(serviceClass(service));
    }
    return List.copyOf(serviceClasses);
  }

  private static List<Settings.Tenant> tenants(JsonObject conf) throws FormatException {
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonObject tenant : conf.objects("tenants")) {
      tenants.add(
          new Settings.Tenant(
              tenant.requiredText("name"),
              tenant.number("share", 0),
              tenant.number("quota-per-s", 0)));
    }
    return List.copyOf(tenants);
  }

  private static Settings.ServiceClass serviceClass(JsonObject service) throws FormatException {
    return new Settings.ServiceClass(
        service.requiredText("name"),
        service.number("slo", 0),
        service.number("aim-stretch", 0),
        service.number("give-up", 0),
        service.number("credit", 1),
        service.number("late-share", 0),
        idempotency(service.text("effect", "fragile")),
        deduplicationScope(service.text("group", "cell")),
        service.number("repeat-window", 0),
        service.flag("streamed"));
  }

  private static Settings.Idempotency idempotency(String effect) {
    return switch (effect) {
      case "retryable" -> Settings.Idempotency.IDEMPOTENT;
      case "dedup" -> Settings.Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Settings.Idempotency.NOT_IDEMPOTENT;
    };
  }

  private static Settings.DeduplicationScope deduplicationScope(String group) {
    return switch (group) {
      case "all" -> Settings.DeduplicationScope.ALL;
      case "zone" -> Settings.DeduplicationScope.ZONE;
      default -> Settings.DeduplicationScope.CELL;
    };
  }
}
