package shalepaddle.settings;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * Reads {@link Settings} from JSON. The simulator's {@code LAUNCH} message and a real node's
 * configuration contain the same object, with the same names and units. The package description
 * lists the names. Stateless.
 */
public final class SettingsFormat {
  private SettingsFormat() {}

  /**
   * Reads the settings of an instance; absent fields have defaults.
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
        parseWeights(conf.text("weight-kind", "silent")),
        readCacheMode(cache, kinds),
        readLimits(conf.nested("caps")),
        readContract(conf.nested("contract")),
        readPrices(conf.nested("prices")),
        readServiceClasses(conf),
        readTenants(conf),
        conf.number("over-share-worth", 1),
        conf.number("period", 0));
  }

  private static Settings.Weights parseWeights(String name) {
    return switch (name) {
      case "nominal" -> Settings.Weights.NOMINAL;
      case "rough" -> Settings.Weights.ROUGH;
      case "live" -> Settings.Weights.LIVE;
      default -> Settings.Weights.NONE;
    };
  }

  private static Settings.CacheMode readCacheMode(JsonObject cache, List<String> kinds) {
    int originKindIndex = (int) cache.number("origin-kind", -1);
    return new Settings.CacheMode(
        cache.text("mode", "through").equals("aside"),
        originKindIndex >= 0 && originKindIndex < kinds.size() ? kinds.get(originKindIndex) : null,
        cache.number("origin-fall-multiple", 0),
        cache.number("origin-fall", 0));
  }

  private static Settings.Limits readLimits(JsonObject caps) {
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

  private static Settings.Contract readContract(JsonObject contract) {
    return new Settings.Contract(
        contract.number("grace-to-answer", 0),
        contract.number("ask-within", 0),
        contract.number("drain-grace", 0),
        contract.number("cold-from", 0),
        contract.number("warm-within", 0),
        contract.number("overload-factor", 0),
        contract.number("overload-for", 0));
  }

  private static Settings.Prices readPrices(JsonObject prices) {
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

  private static List<Settings.ServiceClass> readServiceClasses(JsonObject conf)
      throws FormatException {
    List<Settings.ServiceClass> serviceClasses = new ArrayList<>();
    for (JsonObject service : conf.objects("services")) {
      serviceClasses.add(readServiceClass(service));
    }
    return List.copyOf(serviceClasses);
  }

  private static List<Settings.Tenant> readTenants(JsonObject conf) throws FormatException {
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

  private static Settings.ServiceClass readServiceClass(JsonObject service) throws FormatException {
    return new Settings.ServiceClass(
        service.requiredText("name"),
        service.number("slo", 0),
        service.number("aim-stretch", 0),
        service.number("give-up", 0),
        service.number("credit", 1),
        service.number("late-share", 0),
        parseIdempotency(service.text("effect", "fragile")),
        parseDeduplicationScope(service.text("group", "cell")),
        service.number("repeat-window", 0),
        service.flag("streamed"));
  }

  private static Settings.Idempotency parseIdempotency(String effect) {
    return switch (effect) {
      case "retryable" -> Settings.Idempotency.IDEMPOTENT;
      case "dedup" -> Settings.Idempotency.IDEMPOTENT_WITH_KEY;
      default -> Settings.Idempotency.NOT_IDEMPOTENT;
    };
  }

  private static Settings.DeduplicationScope parseDeduplicationScope(String group) {
    return switch (group) {
      case "all" -> Settings.DeduplicationScope.ALL;
      case "zone" -> Settings.DeduplicationScope.ZONE;
      default -> Settings.DeduplicationScope.CELL;
    };
  }
}
