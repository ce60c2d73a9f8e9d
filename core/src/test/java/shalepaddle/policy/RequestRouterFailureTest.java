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

/** What the router does when servers, caches or the origin fail; one test for each case. */
class RequestRouterFailureTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter router = new RequestRouter(SETTINGS, 1, actions);

  /** Sends a request and answers it at once with a hit; returns where it went. */
  private long serve(double now, String id, String key) {
    router.onRequest(now, PolicyFixture.request(id, key, "safe", 1));
    PolicyFixture.Act sent = actions.acts.get(actions.acts.size() - 1);
    assertEquals("send", sent.what());
    router.onOutcome(now, PolicyFixture.outcome(id, 0, sent.number(), Outcome.Result.OK));
    return sent.number();
  }

  @Test
  void replicatesKeyThatOutgrowsOneServer() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(20));
    TreeSet<Long> hot = new TreeSet<>();
    TreeSet<Long> mild = new TreeSet<>();
    for (int i = 0; i < 1000; i++) {
      hot.add(serve(100 + i * 0.001, "h" + i, "hot"));
      if (i % 100 == 0) {
        mild.add(serve(100 + i * 0.001, "m" + i, "mild"));
      }
      serve(100 + i * 0.001, "o" + i, "other" + i);
    }
    assertTrue(hot.size() >= 8, "homes of half of all requests: " + hot.size());
    assertEquals(1, mild.size());
  }

  @Test
  void boundsRetriesWhenEveryAttemptFails() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 200; i++) {
      String id = "r" + i;
      router.onRequest(100 + i * 0.001, PolicyFixture.request(id, null, "safe", 1));
      for (int attempt = 0; attempt < 4; attempt++) {
        List<PolicyFixture.Act> sends = actions.of("send");
        PolicyFixture.Act last = sends.get(sends.size() - 1);
        if (last.id().equals(id)) {
          router.onOutcome(
              100 + i * 0.001,
              PolicyFixture.outcome(id, attempt, last.number(), Outcome.Result.ERROR));
        }
      }
    }
    assertTrue(actions.of("send").size() <= 211, "sends: " + actions.of("send").size());
    assertEquals(200, actions.of("reject").size());
  }

  /** One attempt at this server, for a key of its own. */
  private void attempt(double now, int number, long server, Outcome.Result result) {
    String id = "~" + number;
    router.observeAttempt(now, PolicyFixture.request(id, "k" + number, "safe", 1), server);
    router.onOutcome(now, PolicyFixture.outcome(id, 0, server, result));
  }

  @Test
  void ejectsFailingServerThoughOthersFailedLongAgo() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    int number = 0;
    for (long server : new long[] {1, 1, 2, 2}) {
      attempt(100, number++, server, Outcome.Result.ERROR);
    }
    for (double now = 100; now < 105; now += 0.05) {
      attempt(now, number++, 4 + number % 3, Outcome.Result.OK);
      if (now > 104) {
        attempt(now, number++, 3, Outcome.Result.ERROR);
      }
    }
    assertEquals(1, router.serverCount(true));
  }

  @Test
  void ejectsNoServerWhenMoreThanAThirdFailTogether() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(6));
    int number = 0;
    for (double now = 100; now < 105; now += 0.05) {
      for (long server = 1; server <= 6; server++) {
        boolean fails = server <= 3 && now > 102;
        attempt(now, number++, server, fails ? Outcome.Result.ERROR : Outcome.Result.OK);
      }
    }
    assertTrue(router.serverCount(true) <= 2, router.serverCount(true) + " left out");
  }

  @Test
  void closesIdleConnectionsOnceRunningServerRefusesOne() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("a", "k", "unsafe", 1));
    router.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(0, actions.of("closeIdle").size());
    router.onMembershipUpdate(101, PolicyFixture.fleet(2));
    for (int i = 0; i < 40; i++) {
      router.onRequest(102, PolicyFixture.request("r" + i, "key" + i, "unsafe", 1));
    }
    List<PolicyFixture.Act> sends = actions.of("send");
    PolicyFixture.Act refused =
        sends.stream().filter(act -> act.number() == 2).findFirst().orElseThrow();
    router.onOutcome(103, PolicyFixture.outcome(refused.id(), 0, 2, Outcome.Result.CONNECT_FAILED));
    assertEquals(0, actions.of("closeIdle").stream().filter(act -> act.number() == 1).count());
    for (PolicyFixture.Act act : actions.of("send")) {
      router.onOutcome(104, PolicyFixture.outcome(act.id(), 0, act.number(), Outcome.Result.OK));
    }
    List<PolicyFixture.Act> ones =
        actions.of("closeIdle").stream().filter(a -> a.number() == 1).toList();
    assertEquals(1, ones.size(), "once, when the last attempt there has ended");
  }

  @Test
  void holdsRequestUntilFetchOfSameKeyEnds() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("a", "k", "safe", 1));
    router.onRequest(100, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(1, actions.of("send").size());
    router.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(2, actions.of("send").size());
    assertEquals("b", actions.of("send").get(1).id());
  }

  @Test
  void releasesWindowAndKeyOfFailedFetchBeforeItsRetry() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(1));
    router.onRequest(100, PolicyFixture.request("warm", "other", "safe", 1));
    router.onOutcome(100.1, PolicyFixture.outcome("warm", 0, 1, Outcome.Result.OK));
    router.onMembershipUpdate(101, PolicyFixture.fleet(2));
    router.onRequest(102, PolicyFixture.request("a", "k", "safe", 1));
    List<PolicyFixture.Act> sends = actions.of("send");
    long home = sends.get(sends.size() - 1).number();
    router.onOutcome(102.1, PolicyFixture.outcome("a", 0, home, Outcome.Result.ERROR));
    router.onOutcome(102.2, PolicyFixture.outcome("a", 1, 3 - home, Outcome.Result.OK));
    actions.acts.clear();
    router.onRequest(103, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(1, actions.of("send").size(), "it need not wait for a fetch that is over");
  }

  @Test
  void panicsWhenMoreThanHalfOfServersWouldBeEjected() {
    for (int broken = 1; broken <= 4; broken++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter one = new RequestRouter(PolicyFixture.settings(false, 1, true), 1, recorder);
      one.onMembershipUpdate(100, PolicyFixture.fleet(4));
      for (int i = 0; i < 100; i++) {
        one.onRequest(100 + i * 0.001, PolicyFixture.request("r" + i, "k" + i, "unsafe", 1));
      }
      double now = 100.2;
      for (PolicyFixture.Act act : List.copyOf(recorder.of("send"))) {
        Outcome.Result result =
            act.number() <= broken ? Outcome.Result.CONNECT_FAILED : Outcome.Result.OK;
        now += 0.06;
        one.onOutcome(now, PolicyFixture.outcome(act.id(), 0, act.number(), result));
      }
      recorder.acts.clear();
      for (int i = 0; i < 40; i++) {
        one.onRequest(now + 0.1, PolicyFixture.request("s" + i, "k" + i, "unsafe", 1));
      }
      TreeSet<Long> used = new TreeSet<>();
      recorder.of("send").forEach(act -> used.add(act.number()));
      assertEquals(broken <= 2 ? 4 - broken : 4, used.size(), broken + " broken, used " + used);
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
    assertEquals(0, actions.of("reject").size());
    // Ten a second are answered and the aim is half a second: of a hundred at once few can be.
    for (int i = 0; i < 100; i++) {
      router.onRequest(103.1, PolicyFixture.request("b" + i, "k", "unsafe", 1));
    }
    int refused = actions.of("reject").size();
    assertTrue(refused > 85 && refused < 100, refused + " rejected");
  }

  /** Settings with a price of crossing zones. */
  private static Settings priced(double crossing) {
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
        new Settings.Prices(crossing, 0, 0, 0, 0, 0, 0, 0, 0),
        SETTINGS.services(),
        List.of(),
        1,
        0.005);
  }

  @Test
  void keepsKeysInZoneByPriceOfCrossing() {
    long[] crossed = new long[2];
    for (int i = 0; i < 2; i++) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter local = new RequestRouter(priced(i == 0 ? 0.1 : 0.01), 1, recorder);
      local.onMembershipUpdate(100, PolicyFixture.fleet(10));
      for (int key = 0; key < 30; key++) {
        String id = "k" + key;
        local.onRequest(100 + key, PolicyFixture.request(id, "key" + key, "safe", 1));
        PolicyFixture.Act sent = recorder.of("send").get(key);
        local.onOutcome(
            100.1 + key, PolicyFixture.outcome(sent.id(), 0, sent.number(), Outcome.Result.OK));
      }
      crossed[i] = recorder.of("send").stream().filter(act -> act.number() % 2 == 1).count();
    }
    assertTrue(crossed[0] <= 2 && crossed[1] >= 8, crossed[0] + " dear, " + crossed[1] + " cheap");
  }

  private static Outcome fetched(
      PolicyFixture.Act sent, Outcome.Result result, double elapsed, double utilization) {
    return new Outcome(
        sent.id(),
        0,
        sent.number(),
        result,
        elapsed,
        result == Outcome.Result.OK,
        result == Outcome.Result.OK ? Outcome.CacheStatus.MISS : Outcome.CacheStatus.NONE,
        new LoadReport(-1, -1, utilization, -1, -1, -1, -1, -1));
  }

  @Test
  void shrinksWindowWhenFetchesMissTheirLatencyObjective() {
    for (double elapsed : new double[] {0.4, 0.6}) {
      PolicyFixture.Recorder recorder = new PolicyFixture.Recorder();
      RequestRouter one = new RequestRouter(SETTINGS, 1, recorder);
      one.onMembershipUpdate(100, PolicyFixture.fleet(1));
      for (int i = 0; i < 40; i++) {
        one.onRequest(100 + i * 0.7, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
        PolicyFixture.Act sent = recorder.of("send").get(i);
        one.onOutcome(100 + i * 0.7 + elapsed, fetched(sent, Outcome.Result.OK, elapsed, 0.1));
      }
      for (int i = 0; i < 3; i++) {
        one.onRequest(128, PolicyFixture.request("b" + i, "burst" + i, "safe", 1));
      }
      assertEquals(elapsed > 0.5 ? 1 : 3, recorder.of("send").size() - 40, "after " + elapsed);
    }
  }

  @Test
  void sendsNoRetriesWhileFetchesFail() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 40; i++) {
      router.onRequest(100 + i * 0.3, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      int sends;
      int attempt = 0;
      do {
        sends = actions.of("send").size();
        PolicyFixture.Act last = actions.of("send").get(sends - 1);
        router.onOutcome(
            100 + i * 0.3,
            PolicyFixture.outcome(last.id(), attempt++, last.number(), Outcome.Result.ERROR));
      } while (actions.of("send").size() > sends);
    }
    assertTrue(actions.of("send").size() <= 43, "sends: " + actions.of("send").size());
  }

  @Test
  void reducesKeysByUtilizationReportedWithFetches() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    TreeMap<Long, Integer> late = new TreeMap<>();
    for (int i = 0; i < 900; i++) {
      double now = 100 + i * 0.02;
      router.onRequest(now, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      PolicyFixture.Act sent = actions.of("send").get(i);
      router.onOutcome(now, fetched(sent, Outcome.Result.OK, 0.01, sent.number() == 1 ? 1 : 0.2));
      if (i > 450) {
        late.merge(sent.number(), 1, Integer::sum);
      }
    }
    assertTrue(late.get(1L) * 3 < late.get(2L) + late.get(3L), "sends: " + late);
  }

  @Test
  void keepsWritesInZoneWhereCrossingIsPriced() {
    RequestRouter local = new RequestRouter(priced(0.1), 1, actions);
    local.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 10; i++) {
      local.onRequest(100, PolicyFixture.request("w" + i, "k" + i, "unsafe", 1));
    }
    Map<Boolean, Integer> inZone = new TreeMap<>();
    for (PolicyFixture.Act act : actions.of("send")) {
      inZone.merge(act.number() % 2 == 0, 1, Integer::sum);
    }
    assertTrue(inZone.get(true) >= 9, "in the own zone: " + inZone);
  }

  @Test
  void selectsServerDespiteInvalidFigures() {
    router.onMembershipUpdate(
        100,
        PolicyFixture.list(
            MembershipUpdate.Kind.FULL,
            List.of(
                new ServerEntry(1, "", "", -1, ServerEntry.State.READY, -5, -1),
                new ServerEntry(2, "a", "box", 0, ServerEntry.State.READY, Double.NaN, 1e300))));
    for (int i = 0; i < 60; i++) {
      Request request =
          new Request("n" + i, i % 2 == 0 ? null : "k", "nobody", null, 1, -1, -1, true, false);
      router.onRequest(100 + i, request);
      PolicyFixture.Act last = actions.acts.get(actions.acts.size() - 1);
      assertEquals("send", last.what());
      double odd = i % 3 == 0 ? Double.NaN : i % 3 == 1 ? -7 : 1e18;
      router.onOutcome(
          100 + i,
          new Outcome(
              "n" + i,
              0,
              last.number(),
              Outcome.Result.OK,
              0.1,
              true,
              Outcome.CacheStatus.HIT,
              new LoadReport(odd, odd, odd, odd, odd, odd, odd, odd)));
    }
  }

  @Test
  void reducesKeysOfServerThatHangs() {
    RequestRouter single = new RequestRouter(PolicyFixture.settings(false, 1, true), 1, actions);
    single.onMembershipUpdate(100, PolicyFixture.fleet(2));
    TreeMap<Long, Integer> late = new TreeMap<>();
    for (int i = 0; i < 600; i++) {
      double now = 100 + i * 0.02;
      String id = "q" + i;
      single.onRequest(now, PolicyFixture.request(id, "fresh" + i, "safe", 1));
      PolicyFixture.Act last = actions.acts.get(actions.acts.size() - 1);
      if (last.what().equals("send")) {
        // Server 1 hangs one in eight: too few failures to be the origin's.
        boolean hangs = last.number() == 1 && i % 8 == 0;
        single.onOutcome(
            now,
            PolicyFixture.outcome(
                id, 0, last.number(), hangs ? Outcome.Result.TIMEOUT : Outcome.Result.OK));
        if (i > 200) {
          late.merge(last.number(), 1, Integer::sum);
        }
      }
    }
    assertTrue(late.get(1L) < late.get(2L), "sends by server: " + late);
  }

  @Test
  void cancelsAttemptsOfDisconnectedClientWithoutAnswer() {
    router.onMembershipUpdate(100, PolicyFixture.fleet(3));
    router.onRequest(100, PolicyFixture.request("gone", "k", "safe", 1));
    router.onClientDisconnected(100.1, "gone");
    assertEquals(1, actions.of("cancel").size());
    long token = actions.of("scheduleTimer").get(0).number();
    router.onTimer(101, token);
    assertTrue(actions.of("fail").isEmpty() && actions.of("reject").isEmpty());
  }
}
