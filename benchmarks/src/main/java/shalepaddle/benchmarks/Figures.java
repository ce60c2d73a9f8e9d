package shalepaddle.benchmarks;

import java.util.List;

/** Words for figures of several rounds. */
final class Figures {
  private Figures() {}

  /** The median, with the least and the greatest, each in this format. */
  static String spread(List<Double> values, String format) {
    List<Double> sorted = values.stream().sorted().toList();
    return (format + " (" + format + " to " + format + ")")
        .formatted(sorted.get(sorted.size() / 2), sorted.get(0), sorted.get(sorted.size() - 1));
  }
}
