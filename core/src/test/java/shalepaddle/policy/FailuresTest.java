package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
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

/** One small test for each failure that experiments have found. */
class FailuresTest {
  private static final Settings SETTINGS = PolicyFixture.settings(false, 4, true);

  private final PolicyFixture.Recorder actions = new PolicyFixture.Recorder();
  private final RequestRouter balancer = new RequestRouter(SETTINGS, 1, actions);

  private static ServerHealth server(long id) {
    return new ServerHealth(PolicyFixture.server(id), 100, SETTINGS);
  }

  private static PendingRequest pending(long serial, String key) {
    return new PendingRequest(
        PolicyFixture.request("r" + serial, key, "safe", 1),
        SETTINGS.services().get(0),
        SETTINGS.limits(),
        serial,
        100);
  }

  /** Sends a request and answers it at once with a hit; returns where it went. */
  private long serve(double now, String id, String key) {
    balancer.onRequest(now, PolicyFixture.request(id, key, "safe", 1));
    PolicyFixture.Act sent = actions.acts.get(actions.acts.size() - 1);
    assertEquals("send", sent.what());
    balancer.onOutcome(now, PolicyFixture.outcome(id, 0, sent.number(), Outcome.Result.OK));
    return sent.number();
  }

  @Test
  void aKeyThatOutgrowsOneServerGetsSeveral() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(20));
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
  void retriesAreFewWhereEverythingFails() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 200; i++) {
      String id = "r" + i;
      balancer.onRequest(100 + i * 0.001, PolicyFixture.request(id, null, "safe", 1));
      for (int attempt = 0; attempt < 4; attempt++) {
        List<PolicyFixture.Act> sends = actions.of("send");
        PolicyFixture.Act last = sends.get(sends.size() - 1);
        if (last.id().equals(id)) {
          balancer.onOutcome(
              100 + i * 0.001,
              PolicyFixture.outcome(id, attempt, last.number(), Outcome.Result.ERROR));
        }
      }
    }
    assertTrue(actions.of("send").size() <= 211, "sends: " + actions.of("send").size());
    assertEquals(200, actions.of("refuse").size());
  }

  /** One attempt at this server, for a key of its own. */
  private void attempt(double now, int number, long server, Outcome.Result result) {
    String id = "~" + number;
    balancer.observeAttempt(now, PolicyFixture.request(id, "k" + number, "safe", 1), server);
    balancer.onOutcome(now, PolicyFixture.outcome(id, 0, server, result));
  }

  @Test
  void failuresOfLongAgoDoNotShieldAServerThatFailsNow() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(6));
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
    assertEquals(1, balancer.serverCount(true));
  }

  @Test
  void serversThatFailTogetherAreNotLeftOutWhereTheyAreMoreThanAThird() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(6));
    int number = 0;
    for (double now = 100; now < 105; now += 0.05) {
      for (long server = 1; server <= 6; server++) {
        boolean fails = server <= 3 && now > 102;
        attempt(now, number++, server, fails ? Outcome.Result.ERROR : Outcome.Result.OK);
      }
    }
    assertTrue(balancer.serverCount(true) <= 2, balancer.serverCount(true) + " left out");
  }

  @Test
  void aLateServerKeepsFewerKeysAndGetsThemBack() {
    ServerHealth slow = server(1);
    for (int i = 0; i < 20; i++) {
      slow.strained(100 + i * 0.1, 3, 1);
    }
    assertTrue(slow.share(102) < 0.2, "share " + slow.share(102));
    int kept = 0;
    for (long key = 0; key < 1000; key++) {
      kept += slow.keeps(102, ConsistentHashRing.mix(key), 1) ? 1 : 0;
    }
    assertTrue(kept < 250, "keys kept: " + kept);
    assertEquals(1, slow.share(160));
  }

  @Test
  void whatStrainsAllServersMovesNoKey() {
    ServerHealth one = server(1);
    for (int i = 0; i < 20; i++) {
      one.strained(100 + i * 0.1, 1.4, 1.5);
    }
    assertEquals(1, one.share(102));
  }

  @Test
  void strainFadesWhileNothingIsSent() {
    ServerHealth one = server(1);
    for (int i = 0; i < 20; i++) {
      one.strained(100, 4, 1);
    }
    assertTrue(one.strain(100) > 3);
    assertTrue(one.strain(110) < 0.5);
  }

  @Test
  void aServerThatComesBackUnlistedCountsAsCold() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    assertFalse(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertFalse(one.suspect(), "two that waited for one connection");
    assertFalse(ended(one, 100.1, Outcome.Result.CONNECT_FAILED));
    assertTrue(one.suspect());
    assertFalse(one.trialDue(100.2));
    assertTrue(one.trialDue(101));
    ended(one, 101, Outcome.Result.OK);
    assertFalse(one.suspect());
    assertEquals(SETTINGS.contract().slowStartMinRatio(), one.warmth(101), 1e-9);
    assertEquals(1, one.warmth(101 + SETTINGS.contract().slowStartSeconds()));
  }

  @Test
  void aServerAtItsLimitOfConnectionsIsNotTakenForANewProcess() {
    ServerHealth one = server(1);
    assertTrue(ended(one, 100, Outcome.Result.CONNECT_FAILED));
    assertTrue(ended(one, 100.1, Outcome.Result.CONNECT_FAILED));
    ended(one, 101, Outcome.Result.OK);
    assertFalse(one.suspect());
    assertEquals(1, one.warmth(101));
  }

  @Test
  void aServerThatAnswersWhatItHadBeforeItRefusedHasNotStartedAnew() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    one.sent();
    ended(one, 100.2, Outcome.Result.CONNECT_FAILED);
    ended(one, 100.3, Outcome.Result.CONNECT_FAILED);
    assertTrue(one.suspect());
    Outcome late =
        new Outcome("a", 0, 1, Outcome.Result.OK, 0.4, true, Outcome.CacheStatus.HIT, null);
    one.ended(100.4, late, 60, true);
    assertFalse(one.suspect());
    assertEquals(1, one.warmth(100.4));
  }

  @Test
  void aServerThatOnlyServedNothingHasNotStartedAnew() {
    ServerHealth one = server(1);
    ended(one, 99, Outcome.Result.OK);
    for (int i = 0; i < 6; i++) {
      ended(one, 100 + i * 0.1, Outcome.Result.RESET);
    }
    ended(one, 101, Outcome.Result.CONNECT_FAILED);
    assertTrue(one.suspect());
    ended(one, 102, Outcome.Result.OK);
    assertFalse(one.suspect());
    assertEquals(1, one.warmth(102));
  }

  @Test
  void connectionsAreClosedAfterUseOnceARunningServerRefusesOne() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(1));
    balancer.onRequest(100, PolicyFixture.request("a", "k", "unsafe", 1));
    balancer.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(0, actions.of("closeIdle").size());
    balancer.onMembershipUpdate(101, PolicyFixture.fleet(2));
    for (int i = 0; i < 40; i++) {
      balancer.onRequest(102, PolicyFixture.request("r" + i, "key" + i, "unsafe", 1));
    }
    List<PolicyFixture.Act> sends = actions.of("send");
    PolicyFixture.Act refused =
        sends.stream().filter(act -> act.number() == 2).findFirst().orElseThrow();
    balancer.onOutcome(
        103, PolicyFixture.outcome(refused.id(), 0, 2, Outcome.Result.CONNECT_FAILED));
    assertEquals(0, actions.of("closeIdle").stream().filter(act -> act.number() == 1).count());
    for (PolicyFixture.Act act : actions.of("send")) {
      balancer.onOutcome(104, PolicyFixture.outcome(act.id(), 0, act.number(), Outcome.Result.OK));
    }
    List<PolicyFixture.Act> ones =
        actions.of("closeIdle").stream().filter(a -> a.number() == 1).toList();
    assertEquals(1, ones.size(), "once, when the last attempt there has ended");
  }

  private static boolean ended(ServerHealth server, double now, Outcome.Result result) {
    server.sent();
    return server.ended(now, PolicyFixture.outcome("a", 0, server.id, result), 60, true);
  }

  @Test
  void oneFetchOfAKeyGoesFirst() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(1));
    balancer.onRequest(100, PolicyFixture.request("a", "k", "safe", 1));
    balancer.onRequest(100, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(1, actions.of("send").size());
    balancer.onOutcome(100.1, PolicyFixture.outcome("a", 0, 1, Outcome.Result.OK));
    assertEquals(2, actions.of("send").size());
    assertEquals("b", actions.of("send").get(1).id());
  }

  /** Ends a fetch, of which the balancer says what is lost of all. */
  private static void over(
      OriginFetchLimiter guard, double now, PendingRequest p, boolean good, boolean bad) {
    guard.losses += 0.1 * ((bad ? 1 : 0) - guard.losses);
    guard.over(now, p, good, bad);
  }

  /** Lets forty fetches fail one after another; returns the time at the end. */
  private static double failFetches(OriginFetchLimiter guard) {
    double now = 100;
    for (int i = 0; i < 40; i++) {
      PendingRequest p = pending(2L * i, "k" + i);
      guard.started(now, i, p, false);
      now += 0.3;
      over(guard, now, p, false, true);
    }
    return now;
  }

  @Test
  void failingFetchesCloseTheWindow() {
    OriginFetchLimiter guard = new OriginFetchLimiter();
    double now = failFetches(guard);
    assertTrue(guard.troubled());
    assertFalse(guard.full(now));
    PendingRequest only = pending(99, "only");
    guard.started(now, 99, only, false);
    assertTrue(guard.full(now + 0.1));
    over(guard, now + 0.1, only, true, false);
    assertFalse(guard.full(now + 0.1));
  }

  @Test
  void aFailedFetchThatIsRetriedKeepsNeitherItsPlaceNorItsKey() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(1));
    balancer.onRequest(100, PolicyFixture.request("warm", "other", "safe", 1));
    balancer.onOutcome(100.1, PolicyFixture.outcome("warm", 0, 1, Outcome.Result.OK));
    balancer.onMembershipUpdate(101, PolicyFixture.fleet(2));
    balancer.onRequest(102, PolicyFixture.request("a", "k", "safe", 1));
    List<PolicyFixture.Act> sends = actions.of("send");
    long home = sends.get(sends.size() - 1).number();
    balancer.onOutcome(102.1, PolicyFixture.outcome("a", 0, home, Outcome.Result.ERROR));
    balancer.onOutcome(102.2, PolicyFixture.outcome("a", 1, 3 - home, Outcome.Result.OK));
    actions.acts.clear();
    balancer.onRequest(103, PolicyFixture.request("b", "k", "safe", 1));
    assertEquals(1, actions.of("send").size(), "it need not wait for a fetch that is over");
  }

  @Test
  void serversThatServeNothingAreSuspectUnlessManyFail() {
    List<Outcome.Result> ways =
        List.of(Outcome.Result.TIMEOUT, Outcome.Result.SERVER_BUSY, Outcome.Result.ERROR);
    for (Outcome.Result way : ways) {
      for (boolean few : new boolean[] {true, false}) {
        ServerHealth one = server(1);
        // One that turns requests away may lack room for fetches alone: each counts for half.
        int row = ServerHealth.UNSERVED_AFTER * (way == Outcome.Result.SERVER_BUSY ? 2 : 1);
        for (int i = 0; i < row; i++) {
          assertFalse(one.suspect());
          one.sent();
          one.ended(100 + 3.0 * i / row, PolicyFixture.outcome("a", 0, 1, way), 60, few);
        }
        assertEquals(few, one.suspect(), way + " " + few);
        assertFalse(few && one.trialDue(102.1));
        ended(one, 103, Outcome.Result.OK);
        assertFalse(one.suspect());
        assertEquals(1, one.warmth(103), "it has not started anew");
      }
    }
  }

  @Test
  void singleResetsLeaveNoServerOutButNothingElseDoes() {
    ServerHealth one = server(1);
    for (int i = 0; i < 2 * ServerHealth.UNSERVED_AFTER; i++) {
      assertFalse(one.suspect(), "after " + i + " in a row");
      ended(one, 99 + i * 0.1, Outcome.Result.RESET);
      ended(one, 99 + i * 0.1, Outcome.Result.RESET);
    }
    assertTrue(one.suspect());
    for (int trial = 1; trial < 5; trial++) {
      ended(one, 100 + trial, Outcome.Result.RESET);
      assertTrue(one.trialDue(100.6 + trial), "a trial that was reset lengthens no pause");
    }
  }

  @Test
  void noMoreThanHalfOfTheServersAreLeftOut() {
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
  void thePartThatAlwaysGoesShrinksWhileFetchesFail() {
    double[] passed = new double[2];
    for (int i = 0; i < 2; i++) {
      OriginFetchLimiter guard = new OriginFetchLimiter();
      double now = failFetches(guard);
      for (int good = 0; good < 10 * i; good++) {
        PendingRequest p = pending(2L * good, "good" + good);
        guard.started(now, 200 + good, p, true);
        over(guard, now, p, true, false);
      }
      guard.floor = 20;
      while (!guard.full(now)) {
        guard.started(now, 1000 + (long) passed[i], pending(7, "out"), false);
        passed[i]++;
      }
      passed[i] = 0;
      for (int ms = 0; ms < 1000; ms++) {
        if (!guard.full(now + ms / 1000.0)) {
          guard.started(now, 5000 + ms, pending(7, "floor"), false);
          passed[i]++;
        }
      }
    }
    assertTrue(passed[0] * 3 < passed[1], passed[0] + " of failing, " + passed[1] + " of mended");
  }

  @Test
  void refusesWhatCannotBeAnsweredWithinItsAim() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(1));
    for (int i = 0; i < 30; i++) {
      double now = 100 + i * 0.1;
      balancer.onRequest(now, PolicyFixture.request("a" + i, "k", "unsafe", 1));
      balancer.onOutcome(now + 0.05, PolicyFixture.outcome("a" + i, 0, 1, Outcome.Result.OK));
    }
    assertEquals(0, actions.of("refuse").size());
    // Ten a second are answered and the aim is half a second: of a hundred at once few can be.
    for (int i = 0; i < 100; i++) {
      balancer.onRequest(103.1, PolicyFixture.request("b" + i, "k", "unsafe", 1));
    }
    int refused = actions.of("refuse").size();
    assertTrue(refused > 85 && refused < 100, refused + " refused");
  }

  @Test
  void aPartOfFetchesAlwaysGoes() {
    OriginFetchLimiter guard = new OriginFetchLimiter();
    double now = failFetches(guard);
    guard.started(now, 99, pending(99, "out"), false);
    assertTrue(guard.full(now + 0.01));
    guard.floor = 20;
    for (int i = 0; i < 10; i++) {
      PendingRequest good = pending(2L * i, "good" + i);
      guard.started(now, 200 + i, good, true);
      over(guard, now, good, true, false);
    }
    assertFalse(guard.full(now + 0.2));
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
  void theDearerACrossingTheRarerAKeyThatStaysInItsZone() {
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

  @Test
  void aSampleAfterALongPauseWeighsMore() {
    ServerHealth dense = server(1);
    ServerHealth rare = server(2);
    dense.strained(100.01, 3, 1);
    rare.strained(102, 3, 1);
    assertTrue(rare.share(102) < dense.share(100.01) - 0.2);
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
  void fetchesLaterThanTheirAimCloseTheWindow() {
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
  void noRetriesWhileFetchesFail() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(10));
    for (int i = 0; i < 40; i++) {
      balancer.onRequest(100 + i * 0.3, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      int sends;
      int attempt = 0;
      do {
        sends = actions.of("send").size();
        PolicyFixture.Act last = actions.of("send").get(sends - 1);
        balancer.onOutcome(
            100 + i * 0.3,
            PolicyFixture.outcome(last.id(), attempt++, last.number(), Outcome.Result.ERROR));
      } while (actions.of("send").size() > sends);
    }
    assertTrue(actions.of("send").size() <= 43, "sends: " + actions.of("send").size());
  }

  @Test
  void reportsThatComeWithFetchesTellOfFullCores() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(3));
    TreeMap<Long, Integer> late = new TreeMap<>();
    for (int i = 0; i < 900; i++) {
      double now = 100 + i * 0.02;
      balancer.onRequest(now, PolicyFixture.request("f" + i, "fresh" + i, "safe", 1));
      PolicyFixture.Act sent = actions.of("send").get(i);
      balancer.onOutcome(now, fetched(sent, Outcome.Result.OK, 0.01, sent.number() == 1 ? 1 : 0.2));
      if (i > 450) {
        late.merge(sent.number(), 1, Integer::sum);
      }
    }
    assertTrue(late.get(1L) * 3 < late.get(2L) + late.get(3L), "sends: " + late);
  }

  @Test
  void whereCrossingIsPricedWritesStayInTheZone() {
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
  void nonsenseFiguresNeitherBreakNorEmptyTheChoice() {
    balancer.onMembershipUpdate(
        100,
        PolicyFixture.list(
            MembershipUpdate.Kind.FULL,
            List.of(
                new ServerEntry(1, "", "", -1, ServerEntry.State.READY, -5, -1),
                new ServerEntry(2, "a", "box", 0, ServerEntry.State.READY, Double.NaN, 1e300))));
    for (int i = 0; i < 60; i++) {
      Request request =
          new Request("n" + i, i % 2 == 0 ? null : "k", "nobody", null, 1, -1, -1, true, false);
      balancer.onRequest(100 + i, request);
      PolicyFixture.Act last = actions.acts.get(actions.acts.size() - 1);
      assertEquals("send", last.what());
      double odd = i % 3 == 0 ? Double.NaN : i % 3 == 1 ? -7 : 1e18;
      balancer.onOutcome(
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
  void aHungServerIsBlamedForItsTimeOuts() {
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
  void clientsThatLeaveAreNotAnsweredAndTheirAttemptsAreCalledOff() {
    balancer.onMembershipUpdate(100, PolicyFixture.fleet(3));
    balancer.onRequest(100, PolicyFixture.request("gone", "k", "safe", 1));
    balancer.onClientDisconnected(100.1, "gone");
    assertEquals(1, actions.of("cancel").size());
    long token = actions.of("wake").get(0).number();
    balancer.onTimer(101, token);
    assertTrue(actions.of("fail").isEmpty() && actions.of("refuse").isEmpty());
  }
}
