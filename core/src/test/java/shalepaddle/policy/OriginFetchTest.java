package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;

/** Servers that lack capacity for fetches, and the queue of requests that are held. */
class OriginFetchTest {
  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router =
      new RequestRouter(PolicyFixture.settings(false, 4, true), 1, actions);
  private double now = 100;
  private int busy;
  private int served;

  OriginFetchTest() {
    router.onMembershipUpdate(now, PolicyFixture.fleet(9));
  }

  /**
   * Requests a key; servers without capacity for fetches reject what is not cached, after a while.
   * Returns where it was served, 0 if nowhere.
   */
  private long serve(String id, String key, boolean held, LongPredicate noRoom) {
    int seen = actions.acts.size();
    router.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    int attempt = 0;
    for (int i = seen; i < actions.acts.size(); i++) {
      PolicyFixture.Act act = actions.acts.get(i);
      if (!act.what().equals("send")) {
        continue;
      }
      boolean full = noRoom.test(act.number()) && !held;
      now += full ? 0.016 : 0.004;
      busy += full ? 1 : 0;
      served += full ? 0 : 1;
      router.onOutcome(
          now,
          PolicyFixture.outcome(
              id, attempt++, act.number(), full ? Result.SERVER_BUSY : Result.OK));
      if (!full) {
        return act.number();
      }
    }
    return 0;
  }

  @Test
  void sendsFewFetchesToFetchLimitedServer() {
    long[] owners = new long[200];
    for (int i = 0; i < owners.length; i++) {
      owners[i] = serve("w" + i, "cached" + i, true, server -> false);
    }
    served = 0;
    for (int i = 0; i < 400; i++) {
      serve("n" + i, "new" + i, false, server -> server <= 5);
      serve("h" + i, "cached" + i % owners.length, true, server -> server <= 5);
    }
    busy = 0;
    int at = 0;
    for (int i = 0; i < 400; i++) {
      assertTrue(serve("m" + i, "more" + i, false, server -> server <= 5) > 5, "served elsewhere");
      at +=
          serve("g" + i, "cached" + i % owners.length, true, s -> s <= 5) == owners[i % 200]
              ? 1
              : 0;
    }
    assertTrue(busy < 60, busy + " of 400 fetches rejected; five of nine would be 220");
    assertTrue(at > 360, at + " of 400 at the server that has them cached");
    assertEquals(0, actions.of("reject").size());
  }

  @Test
  void shrinksWindowWhenAllServersAreBusy() {
    for (int i = 0; i < 400; i++) {
      serve("n" + i, "new" + i, false, server -> true);
    }
    assertEquals(0, served);
    assertTrue(busy < 400 * 1.6, busy + " attempts of 400 requests");
    assertEquals(400, actions.of("reject").size(), "each is rejected, and none twice");
  }

  @Test
  void doesNotBlameOriginForLossesOfOneServer() {
    for (int i = 0; i < 400; i++) {
      String id = "n" + i;
      router.onRequest(now += 0.01, PolicyFixture.request(id, "new" + i, "safe", 1));
      List<PolicyFixture.Act> sent = actions.of("send");
      PolicyFixture.Act last = sent.get(sent.size() - 1);
      Result result = last.number() == 1 ? Result.ERROR : Result.OK;
      router.onOutcome(now, PolicyFixture.outcome(id, 0, last.number(), result));
    }
    for (int i = 0; i < 60; i++) {
      router.onRequest(now, PolicyFixture.request("o" + i, "other" + i, "safe", 1));
    }
    assertEquals(60, actions.of("send").stream().filter(a -> a.id().startsWith("o")).count());
  }

  @Test
  void boundsHeldRequestsAndRejectsOthersAtOnce() {
    RequestRouter once = new RequestRouter(PolicyFixture.settings(false, 1, true), 1, actions);
    once.onMembershipUpdate(now, PolicyFixture.fleet(9));
    for (int i = 0; i < 60; i++) {
      String id = "n" + i;
      once.onRequest(now += 0.3, PolicyFixture.request(id, "new" + i, "safe", 1));
      List<PolicyFixture.Act> sent = actions.of("send");
      if (!sent.isEmpty() && sent.get(sent.size() - 1).id().equals(id)) {
        long server = sent.get(sent.size() - 1).number();
        // An error that names a miss is the origin's.
        once.onOutcome(
            now,
            new Outcome(id, 0, server, Result.ERROR, 0.05, false, Outcome.CacheStatus.MISS, null));
      }
    }
    int before = actions.of("reject").size() + actions.of("fail").size();
    now += 0.001;
    for (int i = 0; i < 100; i++) {
      once.onRequest(now, PolicyFixture.request("q" + i, "queued" + i, "safe", 1));
    }
    int rejected = actions.of("reject").size() + actions.of("fail").size() - before;
    assertTrue(rejected >= 90, rejected + " of 100 rejected at once");
    assertFalse(rejected == 100, "some are held");
  }
}
