package shalepaddle.codec.meta;

import java.util.Arrays;
import shalepaddle.model.LoadReport;

/** Reads the load report in a cache server's reply. */
final class LoadReportParser {
  /** Larger figures are taken for faulty. */
  private static final double MAX_FIGURE = 1e9;

  private static final int FIGURES = 8;

  private LoadReportParser() {}

  /** Reads {@code name=value} pairs; a figure that is missing or malformed is NaN. */
  static LoadReport parse(String text) {
    double[] figures = new double[FIGURES];
    Arrays.fill(figures, Double.NaN);
    for (String pair : text.split(",", 0)) {
      int equals = pair.indexOf('=');
      int index = index(pair.substring(0, Math.max(0, equals)));
      if (index >= 0) {
        try {
          double figure = Double.parseDouble(pair.substring(equals + 1));
          figures[index] = figure >= 0 && figure < MAX_FIGURE ? figure : Double.NaN;
        } catch (NumberFormatException e) {
          // A malformed figure counts as not reported; an earlier one of the same name stays.
        }
      }
    }
    return new LoadReport(
        figures[0],
        figures[1],
        figures[2],
        figures[3],
        figures[4],
        figures[5],
        figures[6],
        figures[7]);
  }

  /** The place of a figure in {@link LoadReport}, by either of its names; -1 for another. */
  private static int index(String name) {
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
