package shalepaddle.benchmarks;

import java.util.List;

/** Formats the figures that a measurement has for several rounds. */
final class Figures {
  private Figures() {}

  /** Returns the median, minimum and maximum of the values, each in this format. */
  static String medianAndRange(List<Double> values, String format) {
    List<Double> sortedValues = values.stream().sorted().toList();
    return (format + " (" + format + " to " + format + ")")
        .formatted(
            sortedValues.get(sortedValues.size() / 2),
            sortedValues.get(0),
            sortedValues.get(sortedValues.size() - 1));
  }
}
