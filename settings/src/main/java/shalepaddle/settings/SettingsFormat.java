package shalepaddle.settings;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.Settings;

/**
 * The form of the settings: the object that the simulator's first message gives an instance, and
 * that a real node finds in its configuration, with the same names and units.
 */
public final class SettingsFormat {
  private SettingsFormat() {}

  /** The settings that an instance is told, in the simulator and in the real node alike. */
  public static Settings read(JsonObject conf) throws FormatException {
    JsonObject caps = conf.nested("caps");
    JsonObject contract = conf.nested("contract");
    JsonObject prices = conf.nested("prices");
    JsonObject family = conf.nested("family-info");
    List<String> kinds = conf.texts("kinds");
    List<Settings.ServiceClass> services = new ArrayList<>();
    for (JsonObject service : conf.objects("services")) {
      services.add(serviceClass(service));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (JsonObject tenant : conf.objects("tenants")) {
      tenants.add(
          new Settings.Tenant(
              tenant.requiredText("name"),
              tenant.number("share", 0),
              tenant.number("quota-per-s", 0)));
    }
    int origin = (int) family.number("origin-kind", -1);
    return new Settings(
        conf.text("zone", ""),
        conf.texts("azs"),
        kinds,
        (int) conf.number("my-number", 0),
        Math.max(1, (int) conf.number("instances", 1)),
        conf.text("discovery", "push").equals("ask"),
        conf.nested("clients").flag("marks-retry"),
        switch (conf.text("weight-kind", "silent")) {
          case "nominal" -> Settings.Weights.NOMINAL;
          case "rough" -> Settings.Weights.ROUGH;
          case "live" -> Settings.Weights.LIVE;
          default -> Settings.Weights.NONE;
        },
        new Settings.CacheMode(
            family.text("mode", "through").equals("aside"),
            origin >= 0 && origin < kinds.size() ? kinds.get(origin) : null,
            family.number("origin-fall-multiple", 0),
            family.number("origin-fall", 0)),
        new Settings.Limits(
            (int) caps.number("attempts-cap", 1),
            caps.flag("parallel-tries"),
            caps.flag("cancel"),
            caps.flag("probing"),
            caps.flag("may-tell"),
            caps.flag("retry-after"),
            caps.number("max-retry-after", 0),
            caps.number("connect-timeout", 0),
            caps.number("conn-idle", 0),
            (int) caps.number("multiplex", 1)),
        new Settings.Contract(
            contract.number("grace-to-answer", 0),
            contract.number("ask-within", 0),
            contract.number("drain-grace", 0),
            contract.number("cold-from", 0),
            contract.number("warm-within", 0),
            contract.number("overload-factor", 0),
            contract.number("overload-for", 0)),
        new Settings.Prices(
            prices.number("cross-zone", 0),
            prices.number("waste", 0),
            prices.number("late-fail", 0),
            prices.number("origin", 0),
            prices.number("probe", 0),
            prices.number("handshake", 0),
            prices.number("connection", 0),
            prices.number("peer", 0),
            prices.number("discovery", 0)),
        List.copyOf(services),
        List.copyOf(tenants),
        conf.number("over-share-worth", 1),
        conf.number("period", 0));
  }

  private static Settings.ServiceClass serviceClass(JsonObject service) throws FormatException {
    return new Settings.ServiceClass(
        service.requiredText("name"),
        service.number("slo", 0),
        service.number("aim-stretch", 0),
        service.number("give-up", 0),
        service.number("credit", 1),
        service.number("late-share", 0),
        switch (service.text("effect", "fragile")) {
          case "retryable" -> Settings.Idempotency.IDEMPOTENT;
          case "dedup" -> Settings.Idempotency.IDEMPOTENT_WITH_KEY;
          default -> Settings.Idempotency.NOT_IDEMPOTENT;
        },
        switch (service.text("group", "cell")) {
          case "all" -> Settings.DeduplicationScope.ALL;
          case "zone" -> Settings.DeduplicationScope.ZONE;
          default -> Settings.DeduplicationScope.CELL;
        },
        service.number("repeat-window", 0),
        service.flag("streamed"));
  }
}
