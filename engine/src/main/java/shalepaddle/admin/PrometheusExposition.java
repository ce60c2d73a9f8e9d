package shalepaddle.admin;

import shalepaddle.diagnostics.Event;
import shalepaddle.diagnostics.EventCounts;
import shalepaddle.engine.RequestMetricsSnapshot;

/** Writes metrics in Prometheus' text format, version 0.0.4. Not thread-safe. */
final class PrometheusExposition {
  static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

  private static final String PREFIX = "app_";

  private final StringBuilder text = new StringBuilder(1024);

  private PrometheusExposition() {}

  static String of(Telemetry telemetry) {
    PrometheusExposition exposition = new PrometheusExposition();
    RequestMetricsSnapshot metrics = telemetry.requestMetrics();
    exposition.writeHeader("results", "counter", "Requests ended, by class and disposition.");
    for (RequestMetricsSnapshot.Results results : metrics.results()) {
      exposition.writeResult(results.service(), "succeeded", results.succeededRequests());
      exposition.writeResult(results.service(), "declined", results.rejectedRequests());
      exposition.writeResult(results.service(), "aborted", results.failedRequests());
    }
    exposition.writeMetric(
        "forwards",
        "counter",
        "Attempts written whole to cache servers.",
        metrics.forwardedAttempts());
    exposition.writeMetric(
        "outstanding", "gauge", "Requests taken and not ended.", metrics.outstandingRequests());
    exposition.writeMetric(
        "discovered", "gauge", "Cache servers in the list.", telemetry.discoveredServerCount());
    exposition.writeMetric(
        "ejected",
        "gauge",
        "Listed cache servers that get nothing new now.",
        telemetry.ejectedServerCount());
    exposition.writeMetric(
        "buffered_bytes",
        "gauge",
        "Bytes that wait in the node: writes, replies, and what is read ahead or not sent.",
        telemetry.bufferedBytes());
    exposition.writeMetric(
        "sighup_applied", "counter", "Configurations taken at SIGHUP.", telemetry.reloadsApplied());
    exposition.writeMetric(
        "sighup_rejected",
        "counter",
        "Configurations turned down at SIGHUP.",
        telemetry.reloadsRejected());
    exposition.writeEvents(telemetry.events());
    return exposition.text.toString();
  }

  private void writeHeader(String name, String type, String help) {
    text.append("# HELP ").append(PREFIX).append(name).append(' ').append(help).append('\n');
    text.append("# TYPE ").append(PREFIX).append(name).append(' ').append(type).append('\n');
  }

  private void writeMetric(String name, String type, String help, long value) {
    writeHeader(name, type, help);
    text.append(PREFIX).append(name).append(' ').append(value).append('\n');
  }

  /** Writes one metric for each kind of event, labelled with the reason. */
  private void writeEvents(EventCounts counts) {
    String metric = null;
    for (Event event : Event.countedEvents()) {
      if (!event.metric().equals(metric)) {
        metric = event.metric();
        writeHeader(metric, "counter", "Events of this kind, by reason.");
      }
      text.append(PREFIX).append(metric).append("{reason=\"").append(event.reason());
      text.append("\"} ").append(counts.countOf(event)).append('\n');
    }
  }

  private void writeResult(String service, String disposition, long value) {
    text.append(PREFIX).append("results{service=\"");
    writeEscaped(service);
    text.append("\",disposition=\"").append(disposition).append("\"} ").append(value).append('\n');
  }

  /** Writes a label's value with backslashes, quotes and line feeds escaped. */
  private void writeEscaped(String value) {
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
