package shalepaddle.capacity;

import java.util.List;

/**
 * A figure measured at several sizes, and the straight line fitted to it: {@code slope x size +
 * constant}.
 *
 * @param role the part of the system that the figure belongs to
 * @param figure the name of the figure
 * @param unit the figure's unit
 * @param size the name of the size that was varied, such as nodes or servers
 * @param points the measured values, in order of size
 * @param slope the growth of the figure per unit of size
 * @param constant the value of the fitted line at size 0
 * @param noise the greatest distance of a point from the line, relative to the greatest value
 */
public record Slope(
    String role,
    String figure,
    String unit,
    String size,
    List<Point> points,
    double slope,
    double constant,
    double noise) {

  /** The value that was measured at one size. */
  public record Point(double size, double value) {}

  /** Fits a line by least squares. If all points have the same size, the slope is 0. */
  public static Slope fit(
      String role, String figure, String unit, String size, List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double sumOfSquares = 0;
    double sumOfProducts = 0;
    double maxValue = 0;
    for (Point point : points) {
      sumOfSquares += (point.size - meanSize) * (point.size - meanSize);
      sumOfProducts += (point.size - meanSize) * (point.value - meanValue);
      maxValue = Math.max(maxValue, Math.abs(point.value));
    }
    double slope = sumOfSquares == 0 ? 0 : sumOfProducts / sumOfSquares;
    double constant = meanValue - slope * meanSize;
    double maxDistance = 0;
    for (Point point : points) {
      maxDistance = Math.max(maxDistance, Math.abs(point.value - slope * point.size - constant));
    }
    return new Slope(
        role,
        figure,
        unit,
        size,
        List.copyOf(points),
        slope,
        constant,
        maxValue == 0 ? 0 : maxDistance / maxValue);
  }

  /** Returns the value of the fitted line at a size. */
  public double valueAt(double size) {
    return slope * size + constant;
  }

  /**
   * Returns the power of the size with which the figure grows from the first point to the last: 0
   * if it is constant, 1 if it is proportional to the size, 2 if it is quadratic.
   */
  public double growthExponent() {
    Point firstPoint = points.get(0);
    Point lastPoint = points.get(points.size() - 1);
    return Math.log(lastPoint.value / firstPoint.value)
        / Math.log(lastPoint.size / firstPoint.size);
  }
}
