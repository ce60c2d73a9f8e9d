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

/** The four rules of the contract under random legal events, by seed. */
class RulesTest {
  private static final String[] TYPES = {"safe", "all", "zone", "cell", "unsafe"};

  private static void membership(
      RuleChecker world,
      RequestRouter router,
      MembershipUpdate.Kind kind,
      List<ServerEntry> lines) {
    for (ServerEntry line : lines) {
      world.servers.put(line.id(), line);
    }
    router.onMembershipUpdate(world.now, PolicyFixture.list(kind, lines));
  }

  private static String play(long seed, boolean parallel, List<String> violations) {
    Random random = new Random(seed);
    Settings settings =
        PolicyFixture.settings(random.nextBoolean(), 2 + random.nextInt(4), parallel);
    RuleChecker world = new RuleChecker(settings);
    world.now = 100;
    RequestRouter router = new RequestRouter(settings, seed, world);
    List<ServerEntry> first = new ArrayList<>();
    for (long id = 1; id <= random.nextInt(8); id++) {
      first.add(PolicyFixture.server(id));
    }
    membership(world, router, MembershipUpdate.Kind.CACHED, first);
    TreeMap<Double, List<Long>> timers = new TreeMap<>();
    int seen = 0;
    for (int step = 0; step < 4000; step++) {
      world.now += random.nextInt(3) * 0.005;
      while (!timers.isEmpty() && timers.firstKey() <= world.now) {
        for (long token : timers.pollFirstEntry().getValue()) {
          router.onTimer(world.now, token);
        }
      }
      int what = step > 3000 ? 9 : random.nextInt(10);
      if (what < 4) {
        String type = TYPES[random.nextInt(TYPES.length)];
        String key = random.nextInt(9) == 0 ? null : "k" + random.nextInt(40);
        var request = PolicyFixture.request("r" + step, key, type, 0.05 + random.nextDouble());
        world.arrives(request);
        router.onRequest(world.now, request);
      } else if (what == 4 && random.nextInt(8) == 0) {
        long id = 1L + random.nextInt(12);
        ServerEntry.State state = List.of(ServerEntry.State.values()).get(random.nextInt(3));
        double started = random.nextInt(3) == 0 ? world.now - random.nextDouble() : 0;
        membership(
            world,
            router,
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(id, state, started)));
      } else if (what == 5 && random.nextInt(20) == 0) {
        router.onMembershipUpdate(
            world.now, PolicyFixture.list(MembershipUpdate.Kind.FAILED, List.of()));
      } else {
        step(world, router, random);
      }
      for (; seen < world.acts.size(); seen++) {
        PolicyFixture.Act act = world.acts.get(seen);
        if (act.what().equals("scheduleTimer")) {
          timers
              .computeIfAbsent(world.now + Math.max(1e-6, act.value()), t -> new ArrayList<>())
              .add(act.number());
        }
      }
      world.checkDeadlines();
    }
    violations.addAll(world.violations);
    return world.acts.toString();
  }

  /** Ends an attempt, or disconnects a client. */
  private static void step(RuleChecker world, RequestRouter router, Random random) {
    for (RuleChecker.Tracked t : new ArrayList<>(world.requests.values())) {
      for (int i = 0; i < t.attempts.size(); i++) {
        RuleChecker.Attempt a = t.attempts.get(i);
        boolean due = world.now >= t.deadline;
        if (a.out && (due || random.nextInt(6) == 0)) {
          var results = Outcome.Result.values();
          var result = due ? Outcome.Result.TIMEOUT : results[random.nextInt(results.length - 1)];
          boolean over = t.over;
          world.ends(t.request.id(), i, result);
          router.onOutcome(
              world.now,
              new Outcome(
                  t.request.id(),
                  i,
                  a.server,
                  result,
                  world.now - a.sentAt,
                  over || result == Outcome.Result.OK,
                  random.nextBoolean() ? Outcome.CacheStatus.HIT : Outcome.CacheStatus.MISS,
                  null));
        }
      }
      if (!t.over && random.nextInt(300) == 0) {
        world.disconnects(t.request.id());
        router.onClientDisconnected(world.now, t.request.id());
      }
    }
    world.requests.values().removeIf(t -> t.over && t.attempts.stream().noneMatch(a -> a.out));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
  void keepsRulesUnderRandomEvents(long seed) {
    List<String> violations = new ArrayList<>();
    play(seed, seed % 2 == 0, violations);
    assertEquals(List.of(), violations);
  }

  @Test
  void sameEventsLeadToSameActions() {
    assertEquals(play(5, true, new ArrayList<>()), play(5, true, new ArrayList<>()));
  }

  @Test
  void warmingServerGetsNoMoreThanItsBudget() {
    Settings settings = PolicyFixture.settings(false, 4, true);
    RuleChecker world = new RuleChecker(settings);
    RequestRouter router = new RequestRouter(settings, 1, world);
    world.now = 100;
    List<ServerEntry> fleet = new ArrayList<>();
    for (long id = 1; id <= 8; id++) {
      fleet.add(PolicyFixture.server(id));
    }
    membership(world, router, MembershipUpdate.Kind.CACHED, fleet);
    Random random = new Random(4);
    world.warmRate = 200.0 / 8;
    int warmingSends = 0;
    for (int i = 0; i < 6000; i++) {
      world.now += 0.005;
      if (i == 2000) {
        membership(
            world,
            router,
            MembershipUpdate.Kind.DELTA,
            List.of(PolicyFixture.server(3, ServerEntry.State.READY, world.now)));
      }
      var request = PolicyFixture.request("r" + i, "k" + random.nextInt(500), "safe", 1);
      world.arrives(request);
      router.onRequest(world.now, request);
      for (RuleChecker.Tracked t : new ArrayList<>(world.requests.values())) {
        for (int a = 0; a < t.attempts.size(); a++) {
          if (t.attempts.get(a).out) {
            long server = t.attempts.get(a).server;
            warmingSends += i > 2000 && i < 4000 && server == 3 ? 1 : 0;
            world.ends(t.request.id(), a, Outcome.Result.OK);
            router.onOutcome(
                world.now, PolicyFixture.outcome(t.request.id(), a, server, Outcome.Result.OK));
          }
        }
      }
      world.requests.values().removeIf(t -> t.over);
    }
    assertEquals(List.of(), world.violations);
    assertTrue(warmingSends > 20, "a warming server gets some of its keys: " + warmingSends);
  }

  private static RuleChecker planted() {
    RuleChecker world = new RuleChecker(PolicyFixture.settings(false, 3, false));
    world.now = 100;
    world.servers.put(1L, PolicyFixture.server(1));
    world.servers.put(2L, PolicyFixture.server(2, ServerEntry.State.DRAINING, 0));
    world.servers.put(3L, PolicyFixture.server(3, ServerEntry.State.READY, 99.9));
    return world;
  }

  @Test
  void checkerCatchesLostRequestAndSecondAnswer() {
    RuleChecker world = planted();
    world.arrives(PolicyFixture.request("x", "k", "safe", 1));
    world.now += 2;
    world.checkDeadlines();
    world.fail("x");
    assertEquals(2, world.violations.size());
    assertTrue(world.violations.stream().allMatch(b -> b.startsWith("rule 1")));
  }

  @Test
  void checkerCatchesDoubledEffect() {
    RuleChecker world = planted();
    world.arrives(PolicyFixture.request("x", "k", "unsafe", 1));
    world.send("x", 1, 0);
    world.ends("x", 0, Outcome.Result.TIMEOUT);
    world.send("x", 1, 0);
    world.reject("x", 0);
    assertEquals(
        List.of("rule 2: unsafe request sent again", "rule 2: rejected what may have run"),
        world.violations);
  }

  @Test
  void checkerCatchesRetryThatMayWaitTooLong() {
    RuleChecker world = planted();
    world.arrives(PolicyFixture.request("x", "k", "all", 3));
    world.send("x", 1, Double.POSITIVE_INFINITY);
    world.ends("x", 0, Outcome.Result.RESET);
    world.now += 0.5;
    world.send("x", 1, 0.6);
    world.ends("x", 1, Outcome.Result.RESET);
    world.now += 0.6;
    world.reject("x", 0);
    assertEquals(
        List.of(
            "rule 2: keyed request that may wait until repeats are not dropped",
            "rule 2: rejected what may have run"),
        world.violations);
  }

  @Test
  void checkerCatchesSendToDrainingServer() {
    RuleChecker world = planted();
    world.arrives(PolicyFixture.request("x", "k", "safe", 1));
    world.send("x", 2, 0);
    assertEquals(List.of("rule 3: sent to a server that is not ready"), world.violations);
  }

  @Test
  void checkerCatchesOverloadDuringSlowStart() {
    RuleChecker world = planted();
    world.warmRate = 10;
    for (int i = 0; i < 20; i++) {
      world.arrives(PolicyFixture.request("x" + i, "k", "safe", 1));
      world.send("x" + i, 3, 0);
    }
    assertTrue(world.violations.contains("rule 4: server overloaded in slow start"));
  }
}
