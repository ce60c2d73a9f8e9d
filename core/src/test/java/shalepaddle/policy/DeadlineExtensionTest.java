package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import shalepaddle.model.Outcome;
import shalepaddle.model.Settings;

/** Tests requests whose deadline is extended because a client with a later deadline joined. */
class DeadlineExtensionTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 2, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);
  private final long token;

  DeadlineExtensionTest() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    router.onRequest(100, PolicyFixture.request("a", "key", "safe", 0.3));
    token = actions.named("scheduleTimer").get(0).numericArgument();
  }

  @Test
  void failsRequestAtExtendedDeadlineWhenNoServerAnswers() {
    router.extendDeadline("a", 101.5);
    router.onTimer(100.3, token);
    assertEquals(List.of(), actions.named("fail"));
    PolicyFixture.RecordedAction secondTimer = actions.named("scheduleTimer").get(1);
    assertEquals(token, secondTimer.numericArgument());
    assertEquals(1.2, secondTimer.seconds(), 1e-9);
    router.onTimer(101.5, token);
    assertEquals(1, actions.named("fail").size());
  }

  @Test
  void retriesBrokenAttemptWithinExtendedDeadline() {
    router.extendDeadline("a", 101.5);
    long server = actions.named("send").get(0).numericArgument();
    router.onOutcome(100.4, PolicyFixture.outcome("a", 0, server, Outcome.Result.RESET));
    assertEquals(2, actions.named("send").size());
  }

  @Test
  void keepsDeadlineWhenExtensionIsEarlier() {
    router.extendDeadline("a", 100.1);
    router.extendDeadline("unknown", 200);
    router.onTimer(100.3, token);
    assertEquals(1, actions.named("fail").size());
  }
}
