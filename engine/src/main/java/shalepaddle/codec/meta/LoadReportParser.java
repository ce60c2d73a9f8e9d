package shalepaddle.codec.meta;

import java.util.Arrays;
import shalepaddle.model.LoadReport;

/** Parses the load report in a cache server's reply. */
final class LoadReportParser {
  /** Metric values from this one upwards are considered invalid. */
  private static final double MAX_METRIC_VALUE = 1e9;

  private static final int METRIC_COUNT = 8;

  private LoadReportParser() {}

  /** Parses {@code name=value} pairs; a metric that is missing or malformed is NaN. */
  static LoadReport parse(String text) {
    double[] metrics = new double[METRIC_COUNT];
    Arrays.fill(metrics, Double.NaN);
    for (String pair : text.split(",", 0)) {
      int equalsIndex = pair.indexOf('=');
      int metricIndex = metricIndexOf(pair.substring(0, Math.max(0, equalsIndex)));
      if (metricIndex >= 0) {
        try {
          double value = Double.parseDouble(pair.substring(equalsIndex + 1));
          metrics[metricIndex] = value >= 0 && value < MAX_METRIC_VALUE ? value : Double.NaN;
        } catch (NumberFormatException e) {
          // A malformed metric is ignored; an earlier value of the same metric is kept.
        }
      }
    }
    return new LoadReport(
        metrics[0],
        metrics[1],
        metrics[2],
        metrics[3],
        metrics[4],
        metrics[5],
        metrics[6],
        metrics[7]);
  }

  /** The index of a metric in {@link LoadReport}, by any of its names; -1 for other names. */
  private static int metricIndexOf(String name) {
    return switch (name) {
      case "inflight", "active" -> 0;
      case "queue", "waiting" -> 1;
      case "util", "cpu" -> 2;
      case "latency_ms", "avg_ms" -> 3;
      case "qps", "rps" -> 4;
      case "eps", "err_rps" -> 5;
      case "x0" -> 6;
      case "x1" -> 7;
      default -> -1;
    };
  }
}
