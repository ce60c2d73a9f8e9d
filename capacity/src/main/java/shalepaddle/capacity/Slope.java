package shalepaddle.capacity;

import java.util.List;

/**
 * A figure against a size, and the straight line through it: {@code slope x size + constant}.
 *
 * @param role whose figure it is
 * @param figure what it is
 * @param unit its unit
 * @param size what was varied
 * @param points what was measured, by size
 * @param slope by how much it grows with each one more
 * @param constant what it is at none
 * @param noise the greatest distance of a point from the line, as a part of the greatest figure
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

  /** A figure that was measured at a size. */
  public record Point(double size, double value) {}

  /** The line by least squares; through one point alone it is level. */
  public static Slope fit(
      String role, String figure, String unit, String size, List<Point> points) {
    double meanSize = points.stream().mapToDouble(Point::size).average().orElseThrow();
    double meanValue = points.stream().mapToDouble(Point::value).average().orElseThrow();
    double spread = 0;
    double together = 0;
    double greatest = 0;
    for (Point point : points) {
      spread += (point.size - meanSize) * (point.size - meanSize);
      together += (point.size - meanSize) * (point.value - meanValue);
      greatest = Math.max(greatest, Math.abs(point.value));
    }
    double slope = spread == 0 ? 0 : together / spread;
    double constant = meanValue - slope * meanSize;
    double off = 0;
    for (Point point : points) {
      off = Math.max(off, Math.abs(point.value - slope * point.size - constant));
    }
    return new Slope(
        role,
        figure,
        unit,
        size,
        List.copyOf(points),
        slope,
        constant,
        greatest == 0 ? 0 : off / greatest);
  }

  /** What the line says at a size. */
  public double at(double size) {
    return slope * size + constant;
  }

  /**
   * By which power of the size it grows between the least and the greatest: 0 where it stays, 1
   * where it is proportional, 2 where it is quadratic.
   */
  public double power() {
    Point first = points.get(0);
    Point last = points.get(points.size() - 1);
    return Math.log(last.value / first.value) / Math.log(last.size / first.size);
  }
}
