package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;

/** Tests servers that lack capacity for fetches, and the queue of held requests. */
class OriginFetchTest {
  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router =
      new RequestRouter(PolicyFixture.settings(false, 4, true), 1, actions);
  private double now = 100;
  private int busyReplies;
  private int servedRequests;

  OriginFetchTest() {
    router.onMembershipUpdate(now, PolicyFixture.fleet(9));
  }

  /**
   * Requests a key. Servers that lack capacity for fetches reject it after 16 ms unless it is
   * cached.
   *
   * @return the server that served the request, 0 if none did
   */
  private long serve(String id, String key, boolean isCached, LongPredicate lacksCapacity) {
    int actionsBefore = actions.recorded.size();
    router.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    int attempt = 0;
    for (int i = actionsBefore; i < actions.recorded.size(); i++) {
      PolicyFixture.RecordedAction action = actions.recorded.get(i);
      if (!action.name().equals("send")) {
        continue;
      }
      boolean isBusy = lacksCapacity.test(action.numericArgument()) && !isCached;
      now += isBusy ? 0.016 : 0.004;
      busyReplies += isBusy ? 1 : 0;
      servedRequests += isBusy ? 0 : 1;
      router.onOutcome(
          now,
          PolicyFixture.outcome(
              id, attempt++, action.numericArgument(), isBusy ? Result.SERVER_BUSY : Result.OK));
      if (!isBusy) {
        return action.numericArgument();
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
    servedRequests = 0;
    for (int i = 0; i < 400; i++) {
      serve("n" + i, "new" + i, false, server -> server <= 5);
      serve("h" + i, "cached" + i % owners.length, true, server -> server <= 5);
    }
    busyReplies = 0;
    int servedByOwner = 0;
    for (int i = 0; i < 400; i++) {
      assertTrue(
          serve("m" + i, "more" + i, false, server -> server <= 5) > 5,
          "a server with capacity for fetches serves the request");
      servedByOwner +=
          serve("g" + i, "cached" + i % owners.length, true, s -> s <= 5) == owners[i % 200]
              ? 1
              : 0;
    }
    assertTrue(
        busyReplies < 60,
        busyReplies
            + " fetches of 400 requests rejected; 220 expected if all nine servers got fetches");
    assertTrue(
        servedByOwner > 360,
        servedByOwner + " of 400 reads of cached keys served by the server that has them cached");
    assertEquals(0, actions.named("reject").size());
  }

  @Test
  void shrinksWindowWhenAllServersAreBusy() {
    for (int i = 0; i < 400; i++) {
      serve("n" + i, "new" + i, false, server -> true);
    }
    assertEquals(0, servedRequests);
    assertTrue(
        busyReplies < 400 * 1.6, busyReplies + " busy replies to the attempts of 400 requests");
    assertEquals(400, actions.named("reject").size(), "each request is rejected exactly once");
  }

  @Test
  void doesNotAttributeLossesOfOneServerToOrigin() {
    for (int i = 0; i < 400; i++) {
      String id = "n" + i;
      router.onRequest(now += 0.01, PolicyFixture.request(id, "new" + i, "safe", 1));
      List<PolicyFixture.RecordedAction> sends = actions.named("send");
      PolicyFixture.RecordedAction lastSend = sends.get(sends.size() - 1);
      Result result = lastSend.numericArgument() == 1 ? Result.ERROR : Result.OK;
      router.onOutcome(now, PolicyFixture.outcome(id, 0, lastSend.numericArgument(), result));
    }
    for (int i = 0; i < 60; i++) {
      router.onRequest(now, PolicyFixture.request("o" + i, "other" + i, "safe", 1));
    }
    assertEquals(
        60, actions.named("send").stream().filter(a -> a.requestId().startsWith("o")).count());
  }

  @Test
  void boundsHeldRequestsAndRejectsOthersAtOnce() {
    RequestRouter singleAttempt =
        new RequestRouter(PolicyFixture.settings(false, 1, true), 1, actions);
    singleAttempt.onMembershipUpdate(now, PolicyFixture.fleet(9));
    for (int i = 0; i < 60; i++) {
      String id = "n" + i;
      singleAttempt.onRequest(now += 0.3, PolicyFixture.request(id, "new" + i, "safe", 1));
      List<PolicyFixture.RecordedAction> sends = actions.named("send");
      if (!sends.isEmpty() && sends.get(sends.size() - 1).requestId().equals(id)) {
        long server = sends.get(sends.size() - 1).numericArgument();
        // An error after a cache miss is attributed to the origin.
        singleAttempt.onOutcome(
            now,
            new Outcome(id, 0, server, Result.ERROR, 0.05, false, Outcome.CacheStatus.MISS, null));
      }
    }
    int rejectionsBefore = actions.named("reject").size() + actions.named("fail").size();
    now += 0.001;
    for (int i = 0; i < 100; i++) {
      singleAttempt.onRequest(now, PolicyFixture.request("q" + i, "queued" + i, "safe", 1));
    }
    int rejections =
        actions.named("reject").size() + actions.named("fail").size() - rejectionsBefore;
    assertTrue(rejections >= 90, rejections + " of 100 requests rejected at once");
    assertFalse(rejections == 100, "some of the 100 requests are held");
  }
}
