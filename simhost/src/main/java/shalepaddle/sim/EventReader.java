package shalepaddle.sim;

import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.LoadReport;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/**
 * Converts events of the simulator's protocol to model types. The package description lists the
 * names. Stateless.
 */
final class EventReader {
  private EventReader() {}

  static MembershipUpdate readMembershipUpdate(JsonObject event) throws FormatException {
    List<ServerEntry> entries = new ArrayList<>();
    for (JsonObject server : event.objects("lines")) {
      entries.add(
          new ServerEntry(
              server.requiredInteger("server"),
              server.text("zone", ""),
              server.text("machine", ""),
              (int) server.number("unit-group", 0),
              switch (server.text("health", "ready")) {
                case "ready" -> ServerEntry.State.READY;
                case "gone" -> ServerEntry.State.REMOVED;
                default -> ServerEntry.State.DRAINING;
              },
              server.number("heft", 1),
              server.number("up-since", 0)));
    }
    String form = event.requiredText("form");
    return new MembershipUpdate(
        switch (form) {
          case "delta" -> MembershipUpdate.Kind.DELTA;
          case "full" -> MembershipUpdate.Kind.FULL;
          case "cached" -> MembershipUpdate.Kind.CACHED;
          case "failed" -> MembershipUpdate.Kind.FAILED;
          default -> throw new FormatException("SYNC message with unknown form '" + form + "'");
        },
        (long) event.number("rev", 0),
        entries);
  }

  static Request readRequest(JsonObject event) throws FormatException {
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

  static Outcome readOutcome(JsonObject event) throws FormatException {
    return new Outcome(
        event.requiredText("handle"),
        (int) event.number("trial", 0),
        event.requiredInteger("server"),
        readResult(event),
        event.number("delay-seen", 0),
        event.flag("ended"),
        switch ((int) event.number("info", 0)) {
          case 1 -> Outcome.CacheStatus.HIT;
          case 2 -> Outcome.CacheStatus.MISS;
          case 3 -> Outcome.CacheStatus.MISS_PENDING;
          default -> Outcome.CacheStatus.NONE;
        },
        readLoadReport(event));
  }

  static Outcome.Result readResult(JsonObject event) throws FormatException {
    String ending = event.requiredText("ending");
    return switch (ending) {
      case "completed" -> Outcome.Result.OK;
      case "errored" -> Outcome.Result.ERROR;
      case "saturated" -> Outcome.Result.SERVER_BUSY;
      case "overdue" -> Outcome.Result.TIMEOUT;
      case "refused_conn" -> Outcome.Result.CONNECT_FAILED;
      case "severed" -> Outcome.Result.RESET;
      case "recalled" -> Outcome.Result.CANCELLED;
      case "superseded" -> Outcome.Result.NOT_SENT;
      case "lookup_miss" -> Outcome.Result.CACHE_MISS;
      default -> throw new FormatException("unknown ending '" + ending + "'");
    };
  }

  static LoadReport readLoadReport(JsonObject event) {
    if (!event.has("pressure")) {
      return null;
    }
    JsonObject report = event.nested("pressure");
    return new LoadReport(
        report.number("active", Double.NaN),
        report.number("waiting", Double.NaN),
        report.number("cpu", Double.NaN),
        report.number("avg_ms", Double.NaN),
        report.number("rps", Double.NaN),
        report.number("err_rps", Double.NaN),
        report.number("x0", Double.NaN),
        report.number("x1", Double.NaN));
  }
}
