package shalepaddle.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the line that {@link Slope} fits to points, and the figures derived from it. */
class SlopeTest {
  private static Slope fit(double... values) {
    List<Slope.Point> points =
        java.util.stream.IntStream.range(0, values.length)
            .mapToObj(i -> new Slope.Point(1 << i, values[i]))
            .toList();
    return Slope.fit("node", "figure", "us", "servers", points);
  }

  @Test
  void fitRecoversSlopeAndConstantOfLine() {
    Slope line = fit(5, 7, 11, 19);
    assertEquals(2, line.slope(), 1e-9);
    assertEquals(3, line.constant(), 1e-9);
    assertEquals(0, line.noise(), 1e-9);
    assertEquals(863, line.valueAt(430), 1e-6);
  }

  @Test
  void fitReportsDistanceFromLineAsNoise() {
    assertEquals(0.4, fit(1, 1, 5, 1).noise(), 0.3);
  }

  @Test
  void growthExponentDistinguishesProportionalFromQuadratic() {
    assertEquals(0, fit(4, 4, 4).growthExponent(), 1e-9);
    assertEquals(1, fit(3, 6, 12).growthExponent(), 1e-9);
    assertEquals(2, fit(1, 4, 16).growthExponent(), 1e-9);
  }
}
