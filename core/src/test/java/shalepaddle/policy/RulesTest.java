package shalepaddle.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.ServerEntry;
import shalepaddle.model.Settings;

/**
 * Checks with {@link RuleChecker}, under seeded random sequences of legal events, that each request
 * gets one answer and takes effect once, and that only servers that are ready get attempts, without
 * overload in slow start.
 */
class RulesTest {
  private static final String[] SERVICE_CLASSES = {"safe", "all", "zone", "cell", "unsafe"};

  /** Applies an update of the endpoint list to the checker and the router. */
  private static void updateMembership(
      RuleChecker checker,
      RequestRouter router,
      MembershipUpdate.Kind kind,
      List<ServerEntry> entries) {
    for (ServerEntry line : entries) {
      checker.servers.put(line.id(), line);
    }
    router.onMembershipUpdate(checker.now, PolicyFixture.membershipUpdate(kind, entries));
  }

  /** Plays random events on a new router; returns its actions as a text. */
  private static String play(long seed, boolean allowsParallelAttempts, List<String> violations) {
    Random random = new Random(seed);
    Settings settings =
        PolicyFixture.settings(random.nextBoolean(), 2 + random.nextInt(4), allowsParallelAttempts);
    RuleChecker checker = new RuleChecker(settings);
    checker.now = 100;
    RequestRouter router = new RequestRouter(settings, seed, checker);
    List<ServerEntry> initialEntries = new ArrayList<>();
    for (long id = 1; id <= random.nextInt(8); id++) {
      initialEntries.add(PolicyFixture.server(id));
    }
    updateMembership(checker, router, MembershipUpdate.Kind.CACHED, initialEntries);
    TreeMap<Double, List<Long>> timers = new TreeMap<>();
    int seenActions = 0;
    for (int step = 0; step < 4000; step++) {
      checker.now += random.nextInt(3) * 0.005;
      while (!timers.isEmpty() && timers.firstKey() <= checker.now) {
        for (long token : timers.pollFirstEntry().getValue()) {
          router.onTimer(checker.now, token);
        }
      }
      // In the last steps only attempts end and clients disconnect, so that no attempt remains.
      int event = step > 3000 ? 9 : random.nextInt(10);
      if (event < 4) {
        String serviceClass = SERVICE_CLASSES[random.nextInt(SERVICE_CLASSES.length)];
        String key = random.nextInt(9) == 0 ? null : "k" + random.nextInt(40);
        var request =
            PolicyFixture.request("r" + step, key, serviceClass, 0.05 + random.nextDouble());
        checker.onRequestArrived(request);
        router.onRequest(checker.now, request);
      } else if (event == 4 && random.nextInt(8) == 0) {
        long id = 1L + random.nextInt(12);
        ServerEntry.State state = List.of(ServerEntry.State.values()).get(random.nextInt(3));
        double startedAtSeconds = random.nextInt(3) == 0 ? checker.now - random.nextDouble() : 0;
        updateMembership(
            checker,
            router,
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(id, state, startedAtSeconds)));
      } else if (event == 5 && random.nextInt(20) == 0) {
        router.onMembershipUpdate(
            checker.now, PolicyFixture.membershipUpdate(MembershipUpdate.Kind.FAILED, List.of()));
      } else {
        endAttempts(checker, router, random);
      }
      for (; seenActions < checker.recorded.size(); seenActions++) {
        PolicyFixture.RecordedAction act = checker.recorded.get(seenActions);
        if (act.name().equals("scheduleTimer")) {
          timers
              .computeIfAbsent(checker.now + Math.max(1e-6, act.seconds()), t -> new ArrayList<>())
              .add(act.numericArgument());
        }
      }
      checker.checkDeadlines();
    }
    violations.addAll(checker.violations);
    return checker.recorded.toString();
  }

  /** Ends random attempts, and those past their deadline; disconnects random clients. */
  private static void endAttempts(RuleChecker checker, RequestRouter router, Random random) {
    for (RuleChecker.TrackedRequest t : new ArrayList<>(checker.requests.values())) {
      for (int i = 0; i < t.attempts.size(); i++) {
        RuleChecker.Attempt a = t.attempts.get(i);
        boolean isDue = checker.now >= t.deadlineSeconds;
        if (a.isInFlight && (isDue || random.nextInt(6) == 0)) {
          var results = Outcome.Result.values();
          var result = isDue ? Outcome.Result.TIMEOUT : results[random.nextInt(results.length - 1)];
          boolean isCompleted = t.isCompleted;
          checker.onAttemptEnded(t.request.id(), i, result);
          router.onOutcome(
              checker.now,
              new Outcome(
                  t.request.id(),
                  i,
                  a.server,
                  result,
                  checker.now - a.sentAtSeconds,
                  isCompleted || result == Outcome.Result.OK,
                  random.nextBoolean() ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS,
                  null));
        }
      }
      if (!t.isCompleted && random.nextInt(300) == 0) {
        checker.onClientDisconnected(t.request.id());
        router.onClientDisconnected(checker.now, t.request.id());
      }
    }
    checker
        .requests
        .values()
        .removeIf(t -> t.isCompleted && t.attempts.stream().noneMatch(a -> a.isInFlight));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void obeysRulesUnderRandomEvents(long seed) {
    List<String> violations = new ArrayList<>();
    play(seed, seed % 2 == 0, violations);
    assertEquals(List.of(), violations);
  }

  @Test
  void givesSameActionsForSameEvents() {
    assertEquals(play(5, true, new ArrayList<>()), play(5, true, new ArrayList<>()));
  }

  @Test
  void doesNotOverloadServerInSlowStart() {
    Settings settings = PolicyFixture.settings(false, 4, true);
    RuleChecker checker = new RuleChecker(settings);
    RequestRouter router = new RequestRouter(settings, 1, checker);
    checker.now = 100;
    List<ServerEntry> fleetEntries = new ArrayList<>();
    for (long id = 1; id <= 8; id++) {
      fleetEntries.add(PolicyFixture.server(id));
    }
    updateMembership(checker, router, MembershipUpdate.Kind.CACHED, fleetEntries);
    Random random = new Random(4);
    checker.warmSendsPerSecond = 200.0 / 8;
    int warmingSends = 0;
    for (int i = 0; i < 6000; i++) {
      checker.now += 0.005;
      if (i == 2000) {
        updateMembership(
            checker,
            router,
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(3, ServerEntry.State.READY, checker.now)));
      }
      var request = PolicyFixture.request("r" + i, "k" + random.nextInt(500), "safe", 1);
      checker.onRequestArrived(request);
      router.onRequest(checker.now, request);
      for (RuleChecker.TrackedRequest t : new ArrayList<>(checker.requests.values())) {
        for (int a = 0; a < t.attempts.size(); a++) {
          if (t.attempts.get(a).isInFlight) {
            long server = t.attempts.get(a).server;
            warmingSends += i > 2000 && i < 4000 && server == 3 ? 1 : 0;
            checker.onAttemptEnded(t.request.id(), a, Outcome.Result.OK);
            router.onOutcome(
                checker.now, PolicyFixture.outcome(t.request.id(), a, server, Outcome.Result.OK));
          }
        }
      }
      checker.requests.values().removeIf(t -> t.isCompleted);
    }
    assertEquals(List.of(), checker.violations);
    assertTrue(warmingSends > 20, "attempts at the warming server: " + warmingSends);
  }

  /** A checker with a ready, a draining and a just started server, to test the checker itself. */
  private static RuleChecker checkerWithServers() {
    RuleChecker checker = new RuleChecker(PolicyFixture.settings(false, 3, false));
    checker.now = 100;
    checker.servers.put(1L, PolicyFixture.server(1));
    checker.servers.put(2L, PolicyFixture.server(2, ServerEntry.State.DRAINING, 0));
    checker.servers.put(3L, PolicyFixture.server(3, ServerEntry.State.READY, 99.9));
    return checker;
  }

  @Test
  void checkerDetectsMissingAndSecondAnswer() {
    RuleChecker checker = checkerWithServers();
    checker.onRequestArrived(PolicyFixture.request("x", "k", "safe", 1));
    checker.now += 2;
    checker.checkDeadlines();
    checker.fail("x");
    assertEquals(2, checker.violations.size());
    assertTrue(
        checker.violations.stream().allMatch(violation -> violation.startsWith("one answer")));
  }

  @Test
  void checkerDetectsRepeatedSendOfUnsafeRequest() {
    RuleChecker checker = checkerWithServers();
    checker.onRequestArrived(PolicyFixture.request("x", "k", "unsafe", 1));
    checker.send("x", 1, 0);
    checker.onAttemptEnded("x", 0, Outcome.Result.TIMEOUT);
    checker.send("x", 1, 0);
    checker.reject("x", 0);
    assertEquals(
        List.of(
            "no double effect: unsafe request sent again",
            "no double effect: rejected a request that may have run"),
        checker.violations);
  }

  @Test
  void checkerDetectsRetryThatMayBeWrittenTooLate() {
    RuleChecker checker = checkerWithServers();
    checker.onRequestArrived(PolicyFixture.request("x", "k", "all", 3));
    checker.send("x", 1, Double.POSITIVE_INFINITY);
    checker.onAttemptEnded("x", 0, Outcome.Result.RESET);
    checker.now += 0.5;
    checker.send("x", 1, 0.6);
    checker.onAttemptEnded("x", 1, Outcome.Result.RESET);
    checker.now += 0.6;
    checker.reject("x", 0);
    assertEquals(
        List.of(
            "no double effect: keyed request may be written after its deduplication window",
            "no double effect: rejected a request that may have run"),
        checker.violations);
  }

  @Test
  void checkerDetectsSendToDrainingServer() {
    RuleChecker checker = checkerWithServers();
    checker.onRequestArrived(PolicyFixture.request("x", "k", "safe", 1));
    checker.send("x", 2, 0);
    assertEquals(List.of("ready servers: sent to a server that is not ready"), checker.violations);
  }

  @Test
  void checkerDetectsOverloadDuringSlowStart() {
    RuleChecker checker = checkerWithServers();
    checker.warmSendsPerSecond = 10;
    for (int i = 0; i < 20; i++) {
      checker.onRequestArrived(PolicyFixture.request("x" + i, "k", "safe", 1));
      checker.send("x" + i, 3, 0);
    }
    assertTrue(checker.violations.contains("slow start: server overloaded in slow start"));
  }
}
