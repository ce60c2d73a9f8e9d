package shalepaddle.sim;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.LoadReport;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Turns the wire's words into values of the model. */
public final class Dialect {
  private Dialect() {}

  /** The settings that an instance is told, in the simulator and in the real node alike. */
  public static Settings settings(Message conf) throws WireException {
    Message caps = conf.nested("caps");
    Message contract = conf.nested("contract");
    Message prices = conf.nested("prices");
    Message family = conf.nested("family-info");
    List<String> kinds = conf.texts("kinds");
    List<Settings.ServiceClass> services = new ArrayList<>();
    for (Message service : conf.objects("services")) {
      services.add(serviceClass(service));
    }
    List<Settings.Tenant> tenants = new ArrayList<>();
    for (Message tenant : conf.objects("tenants")) {
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

  private static Settings.ServiceClass serviceClass(Message service) throws WireException {
    return new Settings.ServiceClass(
        service.requiredText("name"),
        service.number("slo", 0),
        service.number("aim-stretch", 0),
        service.number("give-up", 0),
        service.number("credit", 1),
        service.number("late-share", 0),
        switch (service.text("effect", "fragile")) {
          case "retryable" -> Settings.Effect.SAFE;
          case "dedup" -> Settings.Effect.KEYED;
          default -> Settings.Effect.UNSAFE;
        },
        switch (service.text("group", "cell")) {
          case "all" -> Settings.Group.ALL;
          case "zone" -> Settings.Group.ZONE;
          default -> Settings.Group.CELL;
        },
        service.number("repeat-window", 0),
        service.flag("streamed"));
  }

  static MembershipUpdate membership(Message event) throws WireException {
    List<ServerEntry> entries = new ArrayList<>();
    for (Message line : event.objects("lines")) {
      entries.add(
          new ServerEntry(
              line.requiredInteger("server"),
              line.text("zone", ""),
              line.text("machine", ""),
              (int) line.number("unit-group", 0),
              switch (line.text("health", "ready")) {
                case "ready" -> ServerEntry.State.READY;
                case "gone" -> ServerEntry.State.GONE;
                default -> ServerEntry.State.DRAINING;
              },
              line.number("heft", 1),
              line.number("up-since", 0)));
    }
    String form = event.requiredText("form");
    return new MembershipUpdate(
        switch (form) {
          case "delta" -> MembershipUpdate.Kind.CHANGES;
          case "full" -> MembershipUpdate.Kind.FULL;
          case "cached" -> MembershipUpdate.Kind.REMEMBERED;
          case "failed" -> MembershipUpdate.Kind.FAILED;
          default -> throw new WireException("SYNC message with unknown form '" + form + "'");
        },
        (long) event.number("rev", 0),
        entries);
  }

  static Request request(Message event) throws WireException {
    return new Request(
        event.requiredText("handle"),
        event.text("target-key", null),
        event.text("class", ""),
        event.text("owner", null),
        event.requiredNumber("budget"),
        event.number("work", 0),
        event.number("object-size", 0),
        event.flag("repeat"),
        event.flag("update"));
  }

  static Outcome outcome(Message event) throws WireException {
    return new Outcome(
        event.requiredText("handle"),
        (int) event.number("trial", 0),
        event.requiredInteger("server"),
        result(event),
        event.number("delay-seen", 0),
        event.flag("ended"),
        switch ((int) event.number("info", 0)) {
          case 1 -> Outcome.Note.HIT;
          case 2 -> Outcome.Note.MISS;
          case 3 -> Outcome.Note.MISS_PENDING;
          default -> Outcome.Note.NONE;
        },
        load(event));
  }

  static Outcome.Result result(Message event) throws WireException {
    String ending = event.requiredText("ending");
    return switch (ending) {
      case "completed" -> Outcome.Result.OK;
      case "errored" -> Outcome.Result.ERROR;
      case "saturated" -> Outcome.Result.FULL;
      case "overdue" -> Outcome.Result.TIMEOUT;
      case "refused_conn" -> Outcome.Result.CONNECT_FAILED;
      case "severed" -> Outcome.Result.RESET;
      case "recalled" -> Outcome.Result.CANCELLED;
      case "superseded" -> Outcome.Result.MOOT;
      case "lookup_miss" -> Outcome.Result.NOT_STORED;
      default -> throw new WireException("unknown ending '" + ending + "'");
    };
  }

  static LoadReport load(Message event) {
    if (!event.has("pressure")) {
      return null;
    }
    Message pressure = event.nested("pressure");
    return new LoadReport(
        pressure.number("active", Double.NaN),
        pressure.number("waiting", Double.NaN),
        pressure.number("cpu", Double.NaN),
        pressure.number("avg_ms", Double.NaN),
        pressure.number("rps", Double.NaN),
        pressure.number("err_rps", Double.NaN),
        pressure.number("x0", Double.NaN),
        pressure.number("x1", Double.NaN));
  }
}
