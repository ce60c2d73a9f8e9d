package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Outcome.Result;

/** What a router learns from attempts that another process of its node has made. */
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

  /** Another process has had this attempt. */
  private void observe(String key, long server, Result result) {
    String id = "~" + attempts++;
    router.observeAttempt(now += 0.003, PolicyFixture.request(id, key, "safe", 1), server);
    Outcome outcome = PolicyFixture.outcome(id, 0, server, result);
    router.onOutcome(now += 0.001, outcome);
  }

  private long sent(String id, String key) {
    int seen = actions.acts.size();
    router.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    return actions.acts.stream()
        .skip(seen)
        .filter(act -> act.what().equals("send"))
        .findFirst()
        .map(PolicyFixture.Act::number)
        .orElse(0L);
  }

  @Test
  void givesNoAnswerForObservedAttempt() {
    for (int i = 0; i < KEYS; i++) {
      observe("k" + i, 1 + i % 6, i % 7 == 0 ? Result.TIMEOUT : Result.OK);
    }
    assertEquals(0, actions.of("reject").size() + actions.of("fail").size(), "answers");
    assertEquals(0, actions.of("scheduleTimer").size(), "timers");
    // A late or repeated end of such an attempt changes nothing.
    router.onOutcome(now, PolicyFixture.outcome("~0", 0, 1, Result.ERROR));
    router.onTimer(now, 2);
    assertEquals(0, actions.of("reject").size() + actions.of("fail").size(), "answers");
  }

  @Test
  void ejectsServerByObservedAttemptsAlone() {
    for (int i = 0; i < KEYS; i++) {
      long server = 1L + i % 6;
      observe("k" + i, server, server == 3 ? Result.ERROR : Result.OK);
    }
    int tried = 0;
    for (int i = 0; i < KEYS; i++) {
      String id = "r" + i;
      long server = sent(id, "k" + i);
      tried += server == 3 ? 1 : 0;
      router.onOutcome(
          now, PolicyFixture.outcome(id, 0, server, server == 3 ? Result.ERROR : Result.OK));
    }
    // There is one trial in half a second.
    assertTrue(tried <= 1, tried + " of " + KEYS + " went to the failing server");
  }

  /**
   * Sends to the first router, whose origin serves nothing, and lets the second observe each
   * attempt.
   */
  private void playOnBoth(
      RequestRouter before, PolicyFixture.Recorder its, String key, boolean held) {
    String id = "~" + attempts++;
    int seen = its.acts.size();
    PolicyFixture.Act sent = null;
    before.onRequest(now += 0.004, PolicyFixture.request(id, key, "safe", 1));
    for (PolicyFixture.Act act : its.acts.subList(seen, its.acts.size())) {
      sent = act.what().equals("send") ? act : sent;
    }
    if (sent != null) {
      router.observeAttempt(now, PolicyFixture.request(id, key, "safe", 1), sent.number());
      Outcome outcome =
          held
              ? PolicyFixture.outcome(id, 0, sent.number(), Result.OK)
              : new Outcome(
                  id, 0, sent.number(), Result.TIMEOUT, 1, true, Outcome.CacheStatus.NONE, null);
      before.onOutcome(now, outcome);
      router.onOutcome(now, outcome);
    }
  }

  @Test
  void shrunkWindowPassesCachedKeys() {
    PolicyFixture.Recorder its = new PolicyFixture.Recorder();
    RequestRouter before = new RequestRouter(PolicyFixture.settings(false, 4, true), 1, its);
    before.onMembershipUpdate(now, PolicyFixture.fleet(6));
    for (int i = 0; i < KEYS; i++) {
      playOnBoth(before, its, "cached" + i, true);
    }
    for (int i = 0; i < 200; i++) {
      playOnBoth(before, its, "new" + i, false);
    }
    int hits = 0;
    int fetches = 0;
    for (int i = 0; i < KEYS; i++) {
      long server = sent("h" + i, "cached" + i);
      hits += server == 0 ? 0 : 1;
      router.onOutcome(now, PolicyFixture.outcome("h" + i, 0, server, Result.OK));
      fetches += sent("n" + i, "other" + i) == 0 ? 0 : 1;
    }
    assertTrue(hits > KEYS * 0.9, hits + " of " + KEYS + " reads of cached keys were sent");
    assertTrue(fetches < KEYS / 4, fetches + " of " + KEYS + " fetches were sent");
  }

  @Test
  void ignoresServerThatIsNotListed() {
    observe("k", 77, Result.OK);
    assertEquals(0, actions.acts.size());
    assertTrue(sent("r", "k") > 0);
  }
}
