package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import shalepaddle.config.NodeConfig;
import shalepaddle.settings.FormatException;

class DescriptorBudgetTest {
  /** 256 descriptors, and an admin server. */
  private final DescriptorBudget budget = budget();

  private static DescriptorBudget budget() {
    try {
      return DescriptorBudget.of(NodeConfig.rehearsal());
    } catch (FormatException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void leavesDescriptorsForServersAndTheProcess() {
    assertEquals(128, budget.maxClientConnections());
    assertEquals(40, budget.reserved());
    assertEquals(1, budget.usedRatio(128, 256 - 128 - 40));
  }

  @Test
  void limitsRequestsToAThirdOfAllDescriptors() {
    assertEquals(1.5, budget.requestRatio(128), 1e-12);
  }
}
