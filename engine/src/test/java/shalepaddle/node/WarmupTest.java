package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.RepeatedTest;
import shalepaddle.config.NodeConfig;
import shalepaddle.loop.Log;

class WarmupTest {
  /**
   * Where what it waits for never came, every start took its longest time and was not warm. Again
   * and again: once its code is compiled, all is answered at once, and calls met within calls.
   */
  @RepeatedTest(25)
  void answersAllItsRequestsWithinTheProcess() throws Exception {
    assertEquals(
        Warmup.REQUEST_COUNT, Warmup.run(NodeConfig.rehearsal(), Transport.sockets(), new Log()));
  }
}
