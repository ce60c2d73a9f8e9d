package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.RepeatedTest;
import shalepaddle.config.NodeConfig;
import shalepaddle.loop.Log;

class WarmupTest {
  /**
   * A warm-up that waits in vain takes its longest time at each start. Repeated, since calls were
   * once made within calls when all code was compiled and answers came at once.
   */
  @RepeatedTest(25)
  void answersAllRequestsWithinProcess() throws Exception {
    assertEquals(
        Warmup.REQUEST_COUNT, Warmup.run(NodeConfig.rehearsal(), Transport.sockets(), new Log()));
  }
}
