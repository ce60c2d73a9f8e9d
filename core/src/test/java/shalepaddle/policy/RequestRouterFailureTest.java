package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import shalepaddle.model.LoadReport;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/** Tests the router's behaviour when servers, caches or the origin fail or are overloaded. */
class RequestRouterFailureTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  /** Sends a request and answers it at once with a hit; returns the server that got it. */
  private long serve(double now, String id, String key) {
    router.onRequest(now, PolicyFixture.request(id, key, "safe", 1));
    PolicyFixture.RecordedAction send = actions.recorded.get(actions.recorded.size() - 1);
    assertEquals("send", send.name());
    router.onOutcome(now, PolicyFixture.outcome(id, 0, send.numericArgument(), Outcome.Result.OK));
    return send.numericArgument();
  }

  @Test
  void replicatesHotKeyButNotRareKey() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(20));
    TreeSet<Long> hotKeyServers = new TreeSet<>();
    TreeSet<Long> rareKeyServers = new TreeSet<>();
    for (int i = 0; i < 1000; i++) {
      hotKeyServers.add(serve(100 + i * 0.001, "h" + i, "hot"));
      if (i % 100 == 0) {
        rareKeyServers.add(serve(100 + i * 0.001, "m" + i, "mild"));
      }
      serve(100 + i * 0.001, "o" + i, "other" + i);
    }
    assertTrue(
        hotKeyServers.size() >= 8,
        "number of servers of the key that half of all requests are for: " + hotKeyServers.size());
    assertEquals(1, rareKeyServers.size());
  }

  @Test
  void boundsRetriesWhenEveryAttemptFails() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 200; i++) {
      String id = "r" + i;
      router.onRequest(100 + i * 0.001, PolicyFixture.request(id, null, "safe", 1));
      for (int attempt = 0; attempt < 4; attempt++) {
        List<PolicyFixture.RecordedAction> sends = actions.named("send");
        PolicyFixture.RecordedAction lastSend = sends.get(sends.size() - 1);
        if (lastSend.requestId().equals(id)) {
          router.onOutcome(
              100 + i * 0.001,
              PolicyFixture.outcome(id, attempt, lastSend.numericArgument(), Outcome.Result.ERROR));
        }
      }
    }
    assertTrue(
        actions.named("send").size() <= 211, "number of sends: " + actions.named("send").size());
    assertEquals(200, actions.named("reject").size());
  }

  /** Lets the router observe an attempt at this server, for a new key. */
  private void observeAttempt(double now, int requestNumber, long server, Outcome.Result result) {
    String id = "~" + requestNumber;
    router.observeAttempt(now, PolicyFixture.request(id, "k" + requestNumber, "safe", 1), server);
    router.onOutcome(now, PolicyFixture.outcome(id, 0, server, result));
  }

  @Test
  void ejectsFailingServerWhenOthersFailedLongAgo() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    int requestNumber = 0;
    for (long server : new long[] {1, 1, 2, 2}) {
      observeAttempt(100, requestNumber++, server, Outcome.Result.ERROR);
    }
    for (double now = 100; now < 105; now += 0.05) {
      observeAttempt(now, requestNumber++, 4 + requestNumber % 3, Outcome.Result.OK);
      if (now > 104) {
        observeAttempt(now, requestNumber++, 3, Outcome.Result.ERROR);
      }
    }
    assertEquals(1, router.serverCount(true));
  }

  @Test
  void ejectsNoServerWhenMoreThanAThirdFailTogether() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    int requestNumber = 0;
    for (double now = 100; now < 105; now += 0.05) {
      for (long server = 1; server <= 6; server++) {
        boolean isFailing = server <= 3 && now > 102;
        observeAttempt(
            now, requestNumber++, server, isFailing ? Outcome.Result.ERROR : Outcome.Result.OK);
      }
    }
    assertTrue(router.serverCount(true) <= 2, router.serverCount(true) + " servers ejected");
  }

  @Test
  void closesIdleConnectionsOnceRunningServerRefusesOne() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("a", "k", "unsafe", 1));
    router.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(0, actions.named("closeIdle").size());
    router.onMembershipUpdate(101, PolicyFixture.fleet(2));
    for (int i = 0; i < 40; i++) {
      router.onRequest(102, PolicyFixture.request("r" + i, "key" + i, "unsafe", 1));
    }
    List<PolicyFixture.RecordedAction> sends = actions.named("send");
    PolicyFixture.RecordedAction refusedSend =
        sends.stream().filter(act -> act.numericArgument() == 2).findFirst().orElseThrow();
    router.onOutcome(
        103, PolicyFixture.outcome(refusedSend.requestId(), 0, 2, Outcome.Result.CONNECT_FAILED));
    assertEquals(
        0, actions.named("closeIdle").stream().filter(act -> act.numericArgument() == 1).count());
    for (PolicyFixture.RecordedAction act : actions.named("send")) {
      router.onOutcome(
          104, PolicyFixture.outcome(act.requestId(), 0, act.numericArgument(), Outcome.Result.OK));
    }
    List<PolicyFixture.RecordedAction> closings =
        actions.named("closeIdle").stream().filter(act -> act.numericArgument() == 1).toList();
    assertEquals(
        1,
        closings.size(),
        "idle connections are closed once, after the last attempt at the server has ended");
  }

  @Test
  void holdsRequestUntilFetchOfSameKeyEnds() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("a", "k", "safe", 1));
    router.onRequest(100, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(1, actions.named("send").size());
    router.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(2, actions.named("send").size());
    assertEquals("b", actions.named("send").get(1).requestId());
  }

  @Test
  void releasesWindowAndKeyOfFailedFetchBeforeItsRetry() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("warm", "other", "safe", 1));
    router.onOutcome(100.1, PolicyFixture.outcome("warm", 0, 1, Outcome.Result.OK));
    router.onMembershipUpdate(101, PolicyFixture.fleet(2));
    router.onRequest(102, PolicyFixture.request("a", "k", "safe", 1));
    List<PolicyFixture.RecordedAction> sends = actions.named("send");
    long owner = sends.get(sends.size() - 1).numericArgument();
    router.onOutcome(102.1, PolicyFixture.outcome("a", 0, owner, Outcome.Result.ERROR));
    router.onOutcome(102.2, PolicyFixture.outcome("a", 1, 3 - owner, Outcome.Result.OK));
    actions.recorded.clear();
    router.onRequest(103, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(
        1, actions.named("send").size(), "the request is not held for a fetch that has ended");
  }

  @Test
  void entersPanicModeWhenMoreThanHalfOfServersWouldBeEjected() {
    for (int failingServers = 1; failingServers <= 4; failingServers++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter singleAttemptRouter =
          new RequestRouter(PolicyFixture.settings(false, 1, true), 1, recorder);
      singleAttemptRouter.onMembershipUpdate(100, PolicyFixture.fleet(4));
      for (int i = 0; i < 100; i++) {
        singleAttemptRouter.onRequest(
            100 + i * 0.001, PolicyFixture.request("r" + i, "k" + i, "unsafe", 1));
      }
      double now = 100.2;
      for (PolicyFixture.RecordedAction act : List.copyOf(recorder.named("send"))) {
        Outcome.Result result =
            act.numericArgument() <= failingServers
                ? Outcome.Result.CONNECT_FAILED
                : Outcome.Result.OK;
        now += 0.06;
        singleAttemptRouter.onOutcome(
            now, PolicyFixture.outcome(act.requestId(), 0, act.numericArgument(), result));
      }
      recorder.recorded.clear();
      for (int i = 0; i < 40; i++) {
        singleAttemptRouter.onRequest(
            now + 0.1, PolicyFixture.request("s" + i, "k" + i, "unsafe", 1));
      }
      TreeSet<Long> usedServers = new TreeSet<>();
      recorder.named("send").forEach(act -> usedServers.add(act.numericArgument()));
      assertEquals(
          failingServers <= 2 ? 4 - failingServers : 4,
          usedServers.size(),
          failingServers + " servers failing, requests sent to " + usedServers);
    }
  }

  @Test
  void rejectsRequestsThatCannotMeetTheirLatencyObjective() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    for (int i = 0; i < 30; i++) {
      double now = 100 + i * 0.1;
      router.onRequest(now, PolicyFixture.request("a" + i, "k", "unsafe", 1));
      router.onOutcome(now + 0.05, PolicyFixture.outcome("a" + i, 0, 1, Outcome.Result.OK));
    }
    assertEquals(0, actions.named("reject").size());
    // At ten answers per second and an objective of 0.5 s, only a few of 100 simultaneous requests
    // can be answered in time.
    for (int i = 0; i < 100; i++) {
      router.onRequest(103.1, PolicyFixture.request("b" + i, "k", "unsafe", 1));
    }
    int rejected = actions.named("reject").size();
    assertTrue(rejected > 85 && rejected < 100, rejected + " of 100 requests rejected");
  }

  /** Returns settings with a price for cross-zone attempts. */
  private static Settings settingsWithCrossZonePrice(double crossZonePrice) {
    return new Settings(
        "a",
        SETTINGS.zones(),
        SETTINGS.kinds(),
        0,
        4,
        false,
        true,
        SETTINGS.weights(),
        SETTINGS.cache(),
        SETTINGS.limits(),
        SETTINGS.contract(),
        new Settings.Prices(crossZonePrice, 0, 0, 0, 0, 0, 0, 0, 0),
        SETTINGS.services(),
        List.of(),
        1,
        0.005);
  }

  @Test
  void keepsKeysInZoneWhenCrossZonePriceIsHigh() {
    long[] crossZoneSends = new long[2];
    for (int i = 0; i < 2; i++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter localRouter =
          new RequestRouter(settingsWithCrossZonePrice(i == 0 ? 0.1 : 0.01), 1, recorder);
      localRouter.onMembershipUpdate(100, PolicyFixture.fleet(10));
      for (int key = 0; key < 30; key++) {
        String id = "k" + key;
        localRouter.onRequest(100 + key, PolicyFixture.request(id, "key" + key, "safe", 1));
        PolicyFixture.RecordedAction send = recorder.named("send").get(key);
        localRouter.onOutcome(
            100.1 + key,
            PolicyFixture.outcome(send.requestId(), 0, send.numericArgument(), Outcome.Result.OK));
      }
      crossZoneSends[i] =
          recorder.named("send").stream().filter(act -> act.numericArgument() % 2 == 1).count();
    }
    assertTrue(
        crossZoneSends[0] <= 2 && crossZoneSends[1] >= 8,
        "cross-zone sends: %d at a high price, %d at a low price"
            .formatted(crossZoneSends[0], crossZoneSends[1]));
  }

  /** The outcome of a fetch, with the server's utilization in its load report. */
  private static Outcome fetchOutcome(
      PolicyFixture.RecordedAction send,
      Outcome.Result result,
      double elapsedSeconds,
      double utilization) {
    return new Outcome(
        send.requestId(),
        0,
        send.numericArgument(),
        result,
        elapsedSeconds,
        result == Outcome.Result.OK,
        result == Outcome.Result.OK ? Outcome.CacheStatus.MISS : Outcome.CacheStatus.NONE,
        new LoadReport(-1, -1, utilization, -1, -1, -1, -1, -1));
  }

  @Test
  void shrinksWindowWhenFetchesMissTheirLatencyObjective() {
    for (double elapsedSeconds : new double[] {0.4, 0.6}) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter otherRouter = new RequestRouter(SETTINGS, 1, recorder);
      otherRouter.onMembershipUpdate(100, PolicyFixture.fleet(1));
      for (int i = 0; i < 40; i++) {
        otherRouter.onRequest(
            100 + i * 0.7, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
        PolicyFixture.RecordedAction send = recorder.named("send").get(i);
        otherRouter.onOutcome(
            100 + i * 0.7 + elapsedSeconds,
            fetchOutcome(send, Outcome.Result.OK, elapsedSeconds, 0.1));
      }
      for (int i = 0; i < 3; i++) {
        otherRouter.onRequest(128, PolicyFixture.request("b" + i, "burst" + i, "safe", 1));
      }
      assertEquals(
          elapsedSeconds > 0.5 ? 1 : 3,
          recorder.named("send").size() - 40,
          "fetches that start together after fetches of " + elapsedSeconds + " s");
    }
  }

  @Test
  void sendsNoRetriesWhileFetchesFail() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 40; i++) {
      router.onRequest(100 + i * 0.3, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      int sendCount;
      int attempt = 0;
      do {
        sendCount = actions.named("send").size();
        PolicyFixture.RecordedAction lastSend = actions.named("send").get(sendCount - 1);
        router.onOutcome(
            100 + i * 0.3,
            PolicyFixture.outcome(
                lastSend.requestId(), attempt++, lastSend.numericArgument(), Outcome.Result.ERROR));
      } while (actions.named("send").size() > sendCount);
    }
    assertTrue(
        actions.named("send").size() <= 43, "number of sends: " + actions.named("send").size());
  }

  @Test
  void offersFewerKeysToServerThatReportsHighUtilization() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    TreeMap<Long, Integer> laterSends = new TreeMap<>();
    for (int i = 0; i < 900; i++) {
      double now = 100 + i * 0.02;
      router.onRequest(now, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      PolicyFixture.RecordedAction send = actions.named("send").get(i);
      router.onOutcome(
          now, fetchOutcome(send, Outcome.Result.OK, 0.01, send.numericArgument() == 1 ? 1 : 0.2));
      if (i > 450) {
        laterSends.merge(send.numericArgument(), 1, Integer::sum);
      }
    }
    assertTrue(
        laterSends.get(1L) * 3 < laterSends.get(2L) + laterSends.get(3L),
        "sends by server: " + laterSends);
  }

  @Test
  void keepsWritesInZoneWhenCrossZoneAttemptsHavePrice() {
    RequestRouter localRouter = new RequestRouter(settingsWithCrossZonePrice(0.1), 1, actions);
    localRouter.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 10; i++) {
      localRouter.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    Map<Boolean, Integer> sendsByInZone = new TreeMap<>();
    for (PolicyFixture.RecordedAction act : actions.named("send")) {
      sendsByInZone.merge(act.numericArgument() % 2 == 0, 1, Integer::sum);
    }
    assertTrue(
        sendsByInZone.get(true) >= 9,
        "sends by whether they stay in the own zone: " + sendsByInZone);
  }

  @Test
  void selectsServerWhenListAndLoadReportsHaveInvalidValues() {
    router.onMembershipUpdate(
        100,
        PolicyFixture.membershipUpdate(
            MembershipUpdate.Kind.FULL,
            List.of(
                new ServerEntry(1, "", "", -1, ServerEntry.State.READY, -5, -1),
                new ServerEntry(2, "a", "box", 0, ServerEntry.State.READY, Double.NaN, 1e300))));
    for (int i = 0; i < 60; i++) {
      Request request =
          new Request("n" + i, i % 2 == 0 ? null : "k", "nobody", null, 1, -1, -1, true, false);
      router.onRequest(100 + i, request);
      PolicyFixture.RecordedAction lastSend = actions.recorded.get(actions.recorded.size() - 1);
      assertEquals("send", lastSend.name());
      double invalidValue = i % 3 == 0 ? Double.NaN : i % 3 == 1 ? -7 : 1e18;
      router.onOutcome(
          100 + i,
          new Outcome(
              "n" + i,
              0,
              lastSend.numericArgument(),
              Outcome.Result.OK,
              0.1,
              true,
              Outcome.CacheStatus.HIT,
              new LoadReport(
                  invalidValue,
                  invalidValue,
                  invalidValue,
                  invalidValue,
                  invalidValue,
                  invalidValue,
                  invalidValue,
                  invalidValue)));
    }
  }

  @Test
  void offersFewerKeysToServerThatHangs() {
    RequestRouter singleAttemptRouter =
        new RequestRouter(PolicyFixture.settings(false, 1, true), 1, actions);
    singleAttemptRouter.onMembershipUpdate(100, PolicyFixture.fleet(2));
    TreeMap<Long, Integer> laterSends = new TreeMap<>();
    for (int i = 0; i < 600; i++) {
      double now = 100 + i * 0.02;
      String id = "q" + i;
      singleAttemptRouter.onRequest(now, PolicyFixture.request(id, "fresh" + i, "safe", 1));
      PolicyFixture.RecordedAction lastSend = actions.recorded.get(actions.recorded.size() - 1);
      if (lastSend.name().equals("send")) {
        // Server 1 hangs on one in eight requests, too few to attribute them to the origin.
        boolean isHanging = lastSend.numericArgument() == 1 && i % 8 == 0;
        singleAttemptRouter.onOutcome(
            now,
            PolicyFixture.outcome(
                id,
                0,
                lastSend.numericArgument(),
                isHanging ? Outcome.Result.TIMEOUT : Outcome.Result.OK));
        if (i > 200) {
          laterSends.merge(lastSend.numericArgument(), 1, Integer::sum);
        }
      }
    }
    assertTrue(laterSends.get(1L) < laterSends.get(2L), "sends by server: " + laterSends);
  }

  @Test
  void cancelsAttemptsAndGivesNoAnswerWhenClientDisconnects() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    router.onRequest(100, PolicyFixture.request("gone", "k", "safe", 1));
    router.onClientDisconnected(100.1, "gone");
    assertEquals(1, actions.named("cancel").size());
    long token = actions.named("scheduleTimer").get(0).numericArgument();
    router.onTimer(101, token);
    assertTrue(actions.named("fail").isEmpty() && actions.named("reject").isEmpty());
  }
}
