package shalepaddle.simulation;

import shalepaddle.testkit.StandInDiscovery;

/** The configuration of the load balancers of a {@link ScenarioPlan}. */
final class ScenarioNodeConfig {
  private ScenarioNodeConfig() {}

  /**
   * The configuration of a load balancer as JSON.
   *
   * @param discovery the load balancer's discovery service; the load balancer starts with the
   *     service's current endpoint list
   * @param nodeCount number of load balancers added so far; the random seed of this one depends on
   *     it
   */
  static String json(ScenarioPlan plan, StandInDiscovery discovery, int nodeCount) {
    int deadlineDivisor = plan.deployment().deadlineDivisor();
    return """
        {"listen":"127.0.0.1:0","discovery":"%s","seed":"%x",
         "limits":{"memory_mb":128,"sockets":512},"known":%s,
         "settings":{"instances":%d,"discovery":"%s","zone":"a","azs":["a","b"],
          "caps":{"attempts-cap":%d,"cancel":%b,"parallel-tries":%b,"multiplex":%d,
                  "connect-timeout":0.15,"conn-idle":30,"retry-after":true,"max-retry-after":1},
          "contract":{"grace-to-answer":0.05,"ask-within":10,"drain-grace":%s,"cold-from":%s,
                      "warm-within":%s,"overload-factor":%s,"overload-for":%s},
          "services":[
           {"name":"read","effect":"retryable","slo":%s,"give-up":%s,"credit":2,"late-share":0.3},
           {"name":"put","effect":"fragile","slo":%s,"give-up":%s,"credit":5,"late-share":0.3},
           {"name":"note","effect":"dedup","group":"zone","repeat-window":5,"slo":%s,
            "give-up":%s,"credit":3,"late-share":0.3}]}}
        """
        .formatted(
            discovery.address(),
            plan.seed() + nodeCount,
            discovery.listJson(),
            plan.nodeCount(),
            plan.polling() ? "ask" : "push",
            plan.maxAttempts(),
            plan.deployment().mayCancelAttempts(),
            plan.parallelAttempts(),
            plan.attemptsPerConnection(),
            ScenarioSimulation.DRAIN_GRACE_MILLIS / 1e3,
            ScenarioSimulation.COLD_CAPACITY_SHARE,
            ScenarioSimulation.WARM_UP_SECONDS,
            ScenarioSimulation.COLLAPSE_CAPACITY_MULTIPLE,
            ScenarioSimulation.COLLAPSE_WINDOW_SECONDS,
            0.75 / deadlineDivisor,
            2.0 / deadlineDivisor,
            0.3 / deadlineDivisor,
            1.0 / deadlineDivisor,
            0.5 / deadlineDivisor,
            1.5 / deadlineDivisor);
  }
}
