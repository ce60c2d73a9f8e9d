package shalepaddle.policy.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class BoundedLoadTest {
  @Test
  void computesCapOfPaperForEqualWeights() {
    // 1.5 * 80 / 10 = 12, 1.5 * 81 / 10 = 12.15
    assertEquals(12, BoundedLoad.cap(80, 1, 10, 4));
    assertEquals(13, BoundedLoad.cap(81, 1, 10, 4));
  }

  @Test
  void keepsMinimumCapWhenLoadIsLow() {
    assertEquals(3, BoundedLoad.cap(1, 1, 10, 4));
    assertEquals(3, BoundedLoad.cap(100, 0, 0, 4));
  }

  @Test
  void splitsMinimumCapAmongLoadBalancers() {
    assertEquals(6, BoundedLoad.cap(1, 1, 10, 2));
    assertEquals(2, BoundedLoad.cap(1, 1, 10, 7));
    assertEquals(1, BoundedLoad.cap(3, 1, 40, 30));
    assertEquals(
        2,
        BoundedLoad.cap(5, 1, 40, 30),
        "the cap is two, since two requests often coincide by chance");
  }

  @Test
  void scalesCapWithWeightAndIgnoresInvalidWeights() {
    assertEquals(30, BoundedLoad.cap(100, 2, 10, 4));
    assertEquals(3, BoundedLoad.cap(100, Double.NaN, 10, 4));
    assertEquals(3, BoundedLoad.cap(100, -3, 10, 4));
    assertEquals(3, BoundedLoad.cap(100, Double.POSITIVE_INFINITY, 10, 4));
  }
}
