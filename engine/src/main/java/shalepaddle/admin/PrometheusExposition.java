package shalepaddle.admin;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/** Writes figures in Prometheus' text format, version 0.0.4. */
final class PrometheusExposition {
  static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "app_";

  private final StringBuilder text = new StringBuilder(1024);

  private PrometheusExposition() {}

  static String of(Telemetry telemetry) {
    PrometheusExposition page = new PrometheusExposition();
    RequestMetricsSnapshot figures = telemetry.requestMetrics();
    page.type("results", "counter", "Requests ended, by class and disposition.");
    for (RequestMetricsSnapshot.Results results : figures.results()) {
      page.result(results.service(), "succeeded", results.succeeded());
      page.result(results.service(), "declined", results.rejected());
      page.result(results.service(), "aborted", results.failed());
    }
    page.one("forwards", "counter", "Attempts written whole to cache servers.", figures.forwards());
    page.one("outstanding", "gauge", "Requests taken and not ended.", figures.outstanding());
    page.one("discovered", "gauge", "Cache servers in the list.", telemetry.discovered());
    page.one(
        "ejected", "gauge", "Listed cache servers that get nothing new now.", telemetry.ejected());
    page.one(
        "sighup_applied", "counter", "Configurations taken at SIGHUP.", telemetry.reloadsApplied());
    page.one(
        "sighup_rejected",
        "counter",
        "Configurations turned down at SIGHUP.",
        telemetry.reloadsRejected());
    page.events(telemetry.events());
    return page.text.toString();
  }

  private void type(String name, String type, String help) {
    text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n');
    text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
  }

  private void one(String name, String type, String help, long value) {
    type(name, type, help);
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  /** One metric for each that events name, with their reasons as its labels. */
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

  /** A label's value: three characters have to be told in another way. */
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
