package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import shalepaddle.config.NodeConfig;
import shalepaddle.loop.Log;

class WarmupTest {
  /** Where what it waits for never came, every start took its longest time and was not warm. */
  @Test
  void answersAllItsRequestsWithinTheProcess() throws Exception {
    assertEquals(
        Warmup.REQUESTS, Warmup.run(NodeConfig.rehearsal(), Transport.sockets(), new Log()));
  }
}
