package shalepaddle.coalescing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.AfterFailureMode;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.EdgeCasesMode;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;

/**
 * {@link RequestCoalescer} against a naive model that keeps everything in lists: 200 chains of 500
 * steps.
 */
class RequestCoalescerModelTest {
  private static final CoalescingConfig CONFIG =
      new CoalescingConfig(true, false, 5, 0.02, 6, 0.02);
  private static final long MILLI = 1_000_000;

  /** A caller of the model. */
  private static final class ModelWaiter {
    final int id;
    final long deadline;
    final FlightWaiter<Integer> real;
    boolean over;

    ModelWaiter(int id, long deadline, FlightWaiter<Integer> real) {
      this.id = id;
      this.deadline = deadline;
      this.real = real;
    }
  }

  /** A flight of the model. */
  private static final class ModelFlight {
    final String coalescingKey;
    final String key;
    final long begun;

    /** Operations on its key that had ended, or writes accepted, when it began. */
    final int invalidationsBefore;

    final List<ModelWaiter> callers = new ArrayList<>();
    boolean over;
    int retries;

    ModelFlight(String coalescingKey, String key, long begun, int invalidationsBefore) {
      this.coalescingKey = coalescingKey;
      this.key = key;
      this.begun = begun;
      this.invalidationsBefore = invalidationsBefore;
    }

    List<ModelWaiter> waiting() {
      return callers.stream().filter(each -> !each.over).toList();
    }
  }

  /** Comparison of them, and all that they have expired. */
  private static final class Comparison {
    final RequestCoalescer<Integer> real = new RequestCoalescer<>(CONFIG);
    final List<ModelFlight> flights = new ArrayList<>();
    final Map<String, Integer> invalidations = new HashMap<>();
    final int[] answers = new int[20_000];
    double tokens = 10;
    long now;
    int next;
    long joined;
    long uncoalesced;
    long retried;
    long retriesDenied;

    List<ModelFlight> open() {
      return flights.stream().filter(each -> !each.over).toList();
    }

    void pass(int millis) {
      now += millis * MILLI;
    }

    void read(String key, String tenant, int timeoutMillis) {
      int id = next++;
      long deadline = now + timeoutMillis * MILLI;
      FlightWaiter<Integer> caller = real.join(key, "read", tenant, id, deadline, now);
      String coalescingKey = key + "/" + tenant;
      int count = invalidations.getOrDefault(key, 0);
      ModelFlight found = null;
      for (ModelFlight modelFlight : open()) {
        if (modelFlight.coalescingKey.equals(coalescingKey)
            && modelFlight.invalidationsBefore == count
            && now - modelFlight.begun <= 20 * MILLI
            && modelFlight.callers.size() < 5) {
          found = modelFlight;
        }
      }
      if (found == null) {
        if (open().size() >= 6) {
          assertNull(caller);
          uncoalesced++;
          answers[id]++;
          return;
        }
        found = new ModelFlight(coalescingKey, key, now, count);
        flights.add(found);
        assertEquals(caller, caller.flight().leader(), "it begins a flight");
      } else {
        joined++;
        tokens = Math.min(10, tokens + 0.02);
        assertEquals(found.callers.get(0).real.flight(), caller.flight(), "it joins that one");
      }
      found.callers.add(new ModelWaiter(id, deadline, caller));
      long latest = found.waiting().stream().mapToLong(each -> each.deadline).max().getAsLong();
      assertTrue(caller.flight().deadline() >= latest);
    }

    void invalidate(String key) {
      real.invalidate(key);
      invalidations.merge(key, 1, Integer::sum);
    }

    void leave(int which) {
      List<ModelFlight> open = open();
      if (open.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = open.get(which % open.size());
      ModelWaiter leaving = modelFlight.waiting().get(which / 7 % modelFlight.waiting().size());
      leaving.over = true;
      answers[leaving.id]++;
      modelFlight.over = modelFlight.waiting().isEmpty();
      assertEquals(modelFlight.over, real.leave(leaving.real));
    }

    void expire(int which) {
      List<ModelFlight> open = open();
      if (open.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = open.get(which % open.size());
      if (modelFlight.callers.size() < 2) {
        return;
      }
      Flight<Integer> flight = modelFlight.callers.get(0).real.flight();
      List<Integer> due =
          modelFlight.waiting().stream()
              .filter(each -> each.deadline <= now)
              .sorted((a, b) -> Long.compare(a.deadline, b.deadline))
              .peek(each -> each.over = true)
              .map(each -> each.id)
              .toList();
      List<Integer> expired = real.expire(flight, now).stream().map(FlightWaiter::caller).toList();
      assertEquals(due, expired);
      expired.forEach(id -> answers[id]++);
      modelFlight.over = modelFlight.waiting().isEmpty();
      assertEquals(modelFlight.over, flight.isClosed());
      long least =
          modelFlight.waiting().stream().mapToLong(w -> w.deadline).min().orElse(Long.MAX_VALUE);
      assertTrue(flight.nextDue() == least || flight.deadline() == least || modelFlight.over);
    }

    void complete(int which, FlightResult result) {
      List<ModelFlight> open = open();
      if (open.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = open.get(which % open.size());
      FlightDecision<Integer> decision =
          real.complete(modelFlight.callers.get(0).real.flight(), result, now);
      List<ModelWaiter> waiting = modelFlight.waiting();
      boolean retries = false;
      if (result == FlightResult.BROKEN && waiting.size() > 1 && modelFlight.retries < 3) {
        if (tokens < 1) {
          retriesDenied++;
        } else {
          retries = waiting.stream().skip(1).anyMatch(each -> each.deadline > now);
        }
      }
      List<ModelWaiter> recipients = retries ? waiting.subList(0, 1) : waiting;
      assertEquals(retries, decision.retries());
      assertEquals(
          recipients.stream().map(each -> each.id).toList(),
          decision.recipients().stream().map(FlightWaiter::caller).toList());
      recipients.forEach(
          each -> {
            each.over = true;
            answers[each.id]++;
          });
      if (retries) {
        tokens--;
        retried++;
        modelFlight.retries++;
        assertEquals(
            modelFlight.waiting().get(0).id, waiting.get(1).real.flight().leader().caller());
      } else {
        modelFlight.over = true;
      }
      if (result == FlightResult.SERVED) {
        invalidations.merge(modelFlight.key, 1, Integer::sum);
      }
    }

    void check() {
      CoalescingSnapshot snapshot = real.snapshot();
      int waiting = 0;
      for (ModelFlight modelFlight : open()) {
        waiting += modelFlight.waiting().size();
        for (ModelWaiter each : modelFlight.waiting()) {
          assertEquals(0, answers[each.id], "a waiter has no answer");
        }
      }
      assertEquals(open().size(), snapshot.openFlights());
      assertEquals(waiting, snapshot.waiters());
      assertEquals(flights.size(), snapshot.flights());
      assertEquals(joined, snapshot.joined());
      assertEquals(uncoalesced, snapshot.uncoalesced());
      assertEquals(retried, snapshot.retried());
      assertEquals(retriesDenied, snapshot.retriesDenied());
      assertTrue(real.keys() <= open().size());
    }

    /** Completes all open flights: then each caller has exactly one answer. */
    void end() {
      while (!open().isEmpty()) {
        complete(0, FlightResult.FINAL);
      }
      check();
      for (int id = 0; id < next; id++) {
        assertEquals(1, answers[id], "answers of caller " + id);
      }
      assertEquals(0, real.keys());
    }

    @Override
    public String toString() {
      return "at " + now / MILLI + " ms, " + open().size() + " flights open";
    }
  }

  private static final Arbitrary<String> KEYS = Arbitraries.of("a", "b", "c");
  private static final Arbitrary<Integer> ANY = Arbitraries.integers().between(0, 10_000);

  private static final Arbitrary<FlightResult> RESULTS =
      Arbitraries.of(
          FlightResult.SERVED,
          FlightResult.REJECTED,
          FlightResult.FINAL,
          FlightResult.BROKEN,
          FlightResult.BROKEN,
          FlightResult.BROKEN);

  private static Action.Independent<Comparison> action(Arbitrary<Transformer<Comparison>> steps) {
    return () -> steps;
  }

  private static Transformer<Comparison> step(
      String what, java.util.function.Consumer<Comparison> step) {
    return Transformer.mutate(
        what,
        comparison -> {
          step.accept(comparison);
          comparison.check();
        });
  }

  @Provide
  Arbitrary<ActionChain<Comparison>> chains() {
    return ActionChain.startWith(Comparison::new)
        .withAction(
            6,
            action(
                Combinators.combine(
                        KEYS, Arbitraries.of("x", "y", "z"), Arbitraries.integers().between(1, 60))
                    .as(
                        (key, tenant, timeoutMillis) ->
                            step(
                                "read " + key + " of " + tenant + " for " + timeoutMillis,
                                comparison -> comparison.read(key, tenant, timeoutMillis)))))
        .withAction(
            2,
            action(
                Arbitraries.integers()
                    .between(0, 15)
                    .map(millis -> step(millis + " ms", comparison -> comparison.pass(millis)))))
        .withAction(
            1,
            action(
                KEYS.map(
                    key -> step("invalidate " + key, comparison -> comparison.invalidate(key)))))
        .withAction(2, action(ANY.map(i -> step("leave " + i, comparison -> comparison.leave(i)))))
        .withAction(
            2, action(ANY.map(i -> step("expire " + i, comparison -> comparison.expire(i)))))
        .withAction(
            2,
            action(
                Combinators.combine(ANY, RESULTS)
                    .as(
                        (i, how) ->
                            step(how + " " + i, comparison -> comparison.complete(i, how)))))
        .withMaxTransformations(500);
  }

  @Property(
      tries = 200,
      seed = "12",
      edgeCases = EdgeCasesMode.NONE,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void behavesAsNaiveModel(@ForAll("chains") ActionChain<Comparison> chain) {
    chain.run().end();
  }
}
