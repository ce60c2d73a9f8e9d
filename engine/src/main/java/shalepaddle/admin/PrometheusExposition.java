package shalepaddle.admin;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/** Writes metrics in Prometheus' text format, version 0.0.4. One thread for each instance. */
final class PrometheusExposition {
  static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "app_";

  private final StringBuilder text = new StringBuilder(1024);

  private PrometheusExposition() {}

  static String of(Telemetry telemetry) {
    PrometheusExposition exposition = new PrometheusExposition();
    RequestMetricsSnapshot metrics = telemetry.requestMetrics();
    exposition.type("results", "counter", "Requests ended, by class and disposition.");
    for (RequestMetricsSnapshot.Results results : metrics.results()) {
      exposition.result(results.service(), "succeeded", results.succeeded());
      exposition.result(results.service(), "declined", results.rejected());
      exposition.result(results.service(), "aborted", results.failed());
    }
    exposition.one(
        "forwards", "counter", "Attempts written whole to cache servers.", metrics.forwards());
    exposition.one("outstanding", "gauge", "Requests taken and not ended.", metrics.outstanding());
    exposition.one("discovered", "gauge", "Cache servers in the list.", telemetry.discovered());
    exposition.one(
        "ejected", "gauge", "Listed cache servers that get nothing new now.", telemetry.ejected());
    exposition.one(
        "sighup_applied", "counter", "Configurations taken at SIGHUP.", telemetry.reloadsApplied());
    exposition.one(
        "sighup_rejected",
        "counter",
        "Configurations turned down at SIGHUP.",
        telemetry.reloadsRejected());
    exposition.events(telemetry.events());
    return exposition.text.toString();
  }

  private void type(String name, String type, String help) {
    text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n');
    text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
  }

  private void one(String name, String type, String help, long value) {
    type(name, type, help);
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  /** One metric for each kind of event, with the reasons as its labels. */
  private void events(EventCounts counts) {
    String metric = null;
    for (Event event : Event.counted()) {
      if (!event.metric().equals(metric)) {
        metric = event.metric();
        type(metric, "counter", "Events of this kind, by reason.");
      }
      text.append(PREFIX).append(metric).append("{reason=\"").append(event.reason());
      text.append("\"} ").append(counts.of(event)).append('\n');
    }
  }

  private void result(String service, String disposition, long value) {
    text.append(PREFIX).append("results{service=\"");
    escape(service);
    text.append("\",disposition=\"").append(disposition).append("\"} ").append(value).append('\n');
  }

  /** Writes a label's value, in which three characters are escaped. */
  private void escape(String value) {
    for (int i = 0; i < value.length(); i++) {
      char c = value.charAt(i);
      switch (c) {
        case '\\' -> text.append("\\\\");
        case '"' -> text.append("\\\"");
        case '\n' -> text.append("\\n");
        default -> text.append(c);
      }
    }
  }
}
