package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import shalepaddle.config.NodeConfig;
import shalepaddle.settings.FormatException;

class DescriptorBudgetTest {
  /** The descriptor budget of a node with 256 descriptors and an admin server. */
  private final DescriptorBudget budget = createBudget();

  private static DescriptorBudget createBudget() {
    try {
      return DescriptorBudget.of(NodeConfig.forRehearsal());
    } catch (FormatException e) {
      throw new AssertionError(e);
    }
  }

  @Test
  void reservesDescriptorsForServersAndProcess() {
    assertEquals(128, budget.maxClientConnections());
    assertEquals(40, budget.reservedDescriptors());
    assertEquals(1, budget.usedRatio(128, 256 - 128 - 40));
  }

  @Test
  void limitsRequestsToThirdOfDescriptors() {
    assertEquals(1.5, budget.requestRatio(128), 1e-12);
  }
}
