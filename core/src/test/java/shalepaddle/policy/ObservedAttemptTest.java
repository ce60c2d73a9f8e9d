package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;

/** Tests what a router learns from attempts that another process of its node has sent. */
class ObservedAttemptTest {
  private static final int KEYS = 120;

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router =
      new RequestRouter(PolicyFixture.settings(false, 4, true), 1, actions);
  private double now = 100;
  private int attempts;

  ObservedAttemptTest() {
    router.onMembershipUpdate(now, PolicyFixture.fleet(6));
  }

  /** Lets the router observe an attempt of another process. */
  private void observe(String key, long server, Result result) {
    String id = "~" + attempts++;
    router.observeAttempt(now += 0.003, PolicyFixture.request(id, key, "safe", 1), server);
    Outcome outcome = PolicyFixture.outcome(id, 0, server, result);
    router.onOutcome(now += 0.001, outcome);
  }

  /** Sends a request; returns the server of its first attempt, 0 if it has none. */
  private long send(String id, String key) {
    int actionsBefore = actions.recorded.size();
    router.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    return actions.recorded.stream()
        .skip(actionsBefore)
        .filter(act -> act.name().equals("send"))
        .findFirst()
        .map(PolicyFixture.RecordedAction::numericArgument)
        .orElse(0L);
  }

  @Test
  void givesNoAnswerForObservedAttempts() {
    for (int i = 0; i < KEYS; i++) {
      observe("k" + i, 1 + i % 6, i % 7 == 0 ? Result.TIMEOUT : Result.OK);
    }
    assertEquals(0, actions.named("reject").size() + actions.named("fail").size(), "answers");
    assertEquals(0, actions.named("scheduleTimer").size(), "timers");
    // A late or repeated end of an observed attempt has no effect.
    router.onOutcome(now, PolicyFixture.outcome("~0", 0, 1, Result.ERROR));
    router.onTimer(now, 2);
    assertEquals(0, actions.named("reject").size() + actions.named("fail").size(), "answers");
  }

  @Test
  void ejectsServerByObservedAttemptsAlone() {
    for (int i = 0; i < KEYS; i++) {
      long server = 1L + i % 6;
      observe("k" + i, server, server == 3 ? Result.ERROR : Result.OK);
    }
    int sentToFailingServer = 0;
    for (int i = 0; i < KEYS; i++) {
      String id = "r" + i;
      long server = send(id, "k" + i);
      sentToFailingServer += server == 3 ? 1 : 0;
      router.onOutcome(
          now, PolicyFixture.outcome(id, 0, server, server == 3 ? Result.ERROR : Result.OK));
    }
    // An ejected server gets one trial after a backoff of 0.5 s.
    assertTrue(
        sentToFailingServer <= 1,
        sentToFailingServer + " of " + KEYS + " were sent to the failing server");
  }

  /**
   * Sends a request to a router whose origin does not respond, and lets the router under test
   * observe the attempt.
   *
   * @param isCached whether the servers have the key cached
   */
  private void sendAndObserve(
      RequestRouter sender, PolicyFixture.Recorder actionsOfSender, String key, boolean isCached) {
    String id = "~" + attempts++;
    int actionsBefore = actionsOfSender.recorded.size();
    PolicyFixture.RecordedAction lastSend = null;
    sender.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    for (PolicyFixture.RecordedAction act :
        actionsOfSender.recorded.subList(actionsBefore, actionsOfSender.recorded.size())) {
      lastSend = act.name().equals("send") ? act : lastSend;
    }
    if (lastSend != null) {
      router.observeAttempt(
          now, PolicyFixture.request(id, key, "safe", 1), lastSend.numericArgument());
      Outcome outcome =
          isCached
              ? PolicyFixture.outcome(id, 0, lastSend.numericArgument(), Result.OK)
              : new Outcome(
                  id,
                  0,
                  lastSend.numericArgument(),
                  Result.TIMEOUT,
                  1,
                  true,
                  Outcome.CacheStatus.NONE,
                  null);
      sender.onOutcome(now, outcome);
      router.onOutcome(now, outcome);
    }
  }

  @Test
  void sendsCachedKeysButFewFetchesAfterObservedFetchFailures() {
    PolicyFixture.Recorder actionsOfSender = new PolicyFixture.Recorder();
    RequestRouter sender =
        new RequestRouter(PolicyFixture.settings(false, 4, true), 1, actionsOfSender);
    sender.onMembershipUpdate(now, PolicyFixture.fleet(6));
    for (int i = 0; i < KEYS; i++) {
      sendAndObserve(sender, actionsOfSender, "cached" + i, true);
    }
    for (int i = 0; i < 200; i++) {
      sendAndObserve(sender, actionsOfSender, "new" + i, false);
    }
    int hitSends = 0;
    int fetchSends = 0;
    for (int i = 0; i < KEYS; i++) {
      long server = send("h" + i, "cached" + i);
      hitSends += server == 0 ? 0 : 1;
      router.onOutcome(now, PolicyFixture.outcome("h" + i, 0, server, Result.OK));
      fetchSends += send("n" + i, "other" + i) == 0 ? 0 : 1;
    }
    assertTrue(hitSends > KEYS * 0.9, hitSends + " of " + KEYS + " reads of cached keys were sent");
    assertTrue(fetchSends < KEYS / 4, fetchSends + " of " + KEYS + " fetches were sent");
  }

  @Test
  void ignoresObservedAttemptAtServerThatIsNotListed() {
    observe("k", 77, Result.OK);
    assertEquals(0, actions.recorded.size());
    assertTrue(send("r", "k") > 0);
  }
}
