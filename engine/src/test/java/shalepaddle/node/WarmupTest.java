package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.RepeatedTest;
import shalepaddle.config.NodeConfig;
import shalepaddle.loop.Log;

class WarmupTest {
  /**
   * Guards against warm-up requests that are never answered, for which each start of a node would
   * wait the maximum time. The test is repeated, because such a fault showed only after all code
   * was compiled: answers then came at once, and calls were nested within calls.
   */
  @RepeatedTest(25)
  void warmupRequestsAreAllAnswered() throws Exception {
    assertEquals(
        Warmup.REQUEST_COUNT,
        Warmup.run(NodeConfig.forRehearsal(), Transport.sockets(), new Log()));
  }
}
