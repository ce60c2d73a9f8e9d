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
 * Compares {@link RequestCoalescer} with a naive model that keeps all state in lists, in 200 random
 * chains of 500 steps.
 */
class RequestCoalescerModelTest {
  private static final CoalescingConfig CONFIG =
      new CoalescingConfig(true, false, 5, 0.02, 6, 0.02);
  private static final long NANOS_PER_MILLI = 1_000_000;

  /** A waiter in the model. */
  private static final class ModelWaiter {
    final int id;
    final long deadlineNanos;
    final FlightWaiter<Integer> realWaiter;
    boolean isEnded;

    ModelWaiter(int id, long deadlineNanos, FlightWaiter<Integer> realWaiter) {
      this.id = id;
      this.deadlineNanos = deadlineNanos;
      this.realWaiter = realWaiter;
    }
  }

  /** A flight in the model. */
  private static final class ModelFlight {
    final String coalescingKey;
    final String key;
    final long beganAtNanos;

    /** The number of invalidations of the flight's key before the flight began. */
    final int invalidationsBefore;

    final List<ModelWaiter> joinedWaiters = new ArrayList<>();
    boolean isClosed;
    int retryCount;

    ModelFlight(String coalescingKey, String key, long beganAtNanos, int invalidationsBefore) {
      this.coalescingKey = coalescingKey;
      this.key = key;
      this.beganAtNanos = beganAtNanos;
      this.invalidationsBefore = invalidationsBefore;
    }

    List<ModelWaiter> waiting() {
      return joinedWaiters.stream().filter(waiter -> !waiter.isEnded).toList();
    }
  }

  /** The coalescer and its model, which perform the same steps, and the model's counters. */
  private static final class Comparison {
    final RequestCoalescer<Integer> realCoalescer = new RequestCoalescer<>(CONFIG);
    final List<ModelFlight> flights = new ArrayList<>();
    final Map<String, Integer> invalidations = new HashMap<>();

    /** The number of answers that each caller got, by its id. */
    final int[] answers = new int[20_000];

    double retryTokens = 10;
    long now;
    int nextId;
    long joinedReads;
    long uncoalescedReads;
    long retryCount;
    long deniedRetries;

    List<ModelFlight> open() {
      return flights.stream().filter(flight -> !flight.isClosed).toList();
    }

    void advance(int millis) {
      now += millis * NANOS_PER_MILLI;
    }

    void read(String key, String tenant, int timeoutMillis) {
      int id = nextId++;
      long deadlineNanos = now + timeoutMillis * NANOS_PER_MILLI;
      FlightWaiter<Integer> waiter =
          realCoalescer.join(key, "read", tenant, id, deadlineNanos, now);
      String coalescingKey = key + "/" + tenant;
      int invalidationCount = invalidations.getOrDefault(key, 0);
      ModelFlight foundFlight = null;
      for (ModelFlight modelFlight : open()) {
        if (modelFlight.coalescingKey.equals(coalescingKey)
            && modelFlight.invalidationsBefore == invalidationCount
            && now - modelFlight.beganAtNanos <= 20 * NANOS_PER_MILLI
            && modelFlight.joinedWaiters.size() < 5) {
          foundFlight = modelFlight;
        }
      }
      if (foundFlight == null) {
        if (open().size() >= 6) {
          assertNull(waiter);
          uncoalescedReads++;
          answers[id]++;
          return;
        }
        foundFlight = new ModelFlight(coalescingKey, key, now, invalidationCount);
        flights.add(foundFlight);
        assertEquals(
            waiter, waiter.flight().leader(), "the first waiter is the leader of a new flight");
      } else {
        joinedReads++;
        retryTokens = Math.min(10, retryTokens + 0.02);
        assertEquals(
            foundFlight.joinedWaiters.get(0).realWaiter.flight(),
            waiter.flight(),
            "the waiter joins the flight of the model");
      }
      foundFlight.joinedWaiters.add(new ModelWaiter(id, deadlineNanos, waiter));
      long latestDeadlineNanos =
          foundFlight.waiting().stream().mapToLong(each -> each.deadlineNanos).max().getAsLong();
      assertTrue(waiter.flight().latestDeadlineNanos() >= latestDeadlineNanos);
    }

    void invalidate(String key) {
      realCoalescer.invalidate(key);
      invalidations.merge(key, 1, Integer::sum);
    }

    void leave(int random) {
      List<ModelFlight> openFlights = open();
      if (openFlights.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = openFlights.get(random % openFlights.size());
      ModelWaiter leavingWaiter =
          modelFlight.waiting().get(random / 7 % modelFlight.waiting().size());
      leavingWaiter.isEnded = true;
      answers[leavingWaiter.id]++;
      modelFlight.isClosed = modelFlight.waiting().isEmpty();
      assertEquals(modelFlight.isClosed, realCoalescer.leave(leavingWaiter.realWaiter));
    }

    void expire(int random) {
      List<ModelFlight> openFlights = open();
      if (openFlights.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = openFlights.get(random % openFlights.size());
      if (modelFlight.joinedWaiters.size() < 2) {
        return;
      }
      Flight<Integer> flight = modelFlight.joinedWaiters.get(0).realWaiter.flight();
      List<Integer> dueCallers =
          modelFlight.waiting().stream()
              .filter(each -> each.deadlineNanos <= now)
              .sorted((a, b) -> Long.compare(a.deadlineNanos, b.deadlineNanos))
              .peek(each -> each.isEnded = true)
              .map(each -> each.id)
              .toList();
      List<Integer> expiredCallers =
          realCoalescer.expire(flight, now).stream().map(FlightWaiter::caller).toList();
      assertEquals(dueCallers, expiredCallers);
      expiredCallers.forEach(id -> answers[id]++);
      modelFlight.isClosed = modelFlight.waiting().isEmpty();
      assertEquals(modelFlight.isClosed, flight.isClosed());
      long earliestDeadlineNanos =
          modelFlight.waiting().stream()
              .mapToLong(w -> w.deadlineNanos)
              .min()
              .orElse(Long.MAX_VALUE);
      assertTrue(
          flight.nextDeadline() == earliestDeadlineNanos
              || flight.latestDeadlineNanos() == earliestDeadlineNanos
              || modelFlight.isClosed);
    }

    void complete(int random, FlightResult result) {
      List<ModelFlight> openFlights = open();
      if (openFlights.isEmpty()) {
        return;
      }
      ModelFlight modelFlight = openFlights.get(random % openFlights.size());
      FlightDecision<Integer> decision =
          realCoalescer.complete(modelFlight.joinedWaiters.get(0).realWaiter.flight(), result, now);
      List<ModelWaiter> modelWaiters = modelFlight.waiting();
      boolean isRetried = false;
      if (result == FlightResult.BROKEN && modelWaiters.size() > 1 && modelFlight.retryCount < 3) {
        if (retryTokens < 1) {
          deniedRetries++;
        } else {
          isRetried = modelWaiters.stream().skip(1).anyMatch(each -> each.deadlineNanos > now);
        }
      }
      List<ModelWaiter> recipients = isRetried ? modelWaiters.subList(0, 1) : modelWaiters;
      assertEquals(isRetried, decision.isFlightRetried());
      assertEquals(
          recipients.stream().map(each -> each.id).toList(),
          decision.recipients().stream().map(FlightWaiter::caller).toList());
      recipients.forEach(
          each -> {
            each.isEnded = true;
            answers[each.id]++;
          });
      if (isRetried) {
        retryTokens--;
        retryCount++;
        modelFlight.retryCount++;
        assertEquals(
            modelFlight.waiting().get(0).id,
            modelWaiters.get(1).realWaiter.flight().leader().caller());
      } else {
        modelFlight.isClosed = true;
      }
      if (result == FlightResult.SERVED) {
        invalidations.merge(modelFlight.key, 1, Integer::sum);
      }
    }

    void check() {
      CoalescingSnapshot snapshot = realCoalescer.snapshot();
      int waitingCount = 0;
      for (ModelFlight modelFlight : open()) {
        waitingCount += modelFlight.waiting().size();
        for (ModelWaiter each : modelFlight.waiting()) {
          assertEquals(0, answers[each.id], "a waiter has no answer yet");
        }
      }
      assertEquals(open().size(), snapshot.openFlights());
      assertEquals(waitingCount, snapshot.waiters());
      assertEquals(flights.size(), snapshot.startedFlights());
      assertEquals(joinedReads, snapshot.joinedReads());
      assertEquals(uncoalescedReads, snapshot.uncoalescedReads());
      assertEquals(retryCount, snapshot.retries());
      assertEquals(deniedRetries, snapshot.deniedRetries());
      assertTrue(realCoalescer.keyCount() <= open().size());
    }

    /** Completes all open flights; each caller must then have exactly one answer. */
    void completeAll() {
      while (!open().isEmpty()) {
        complete(0, FlightResult.FINAL);
      }
      check();
      for (int id = 0; id < nextId; id++) {
        assertEquals(1, answers[id], "answers of caller " + id);
      }
      assertEquals(0, realCoalescer.keyCount());
    }

    @Override
    public String toString() {
      return "at " + now / NANOS_PER_MILLI + " ms, " + open().size() + " flights open";
    }
  }

  private static final Arbitrary<String> KEYS = Arbitraries.of("a", "b", "c");
  private static final Arbitrary<Integer> INDEXES = Arbitraries.integers().between(0, 10_000);

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
      String label, java.util.function.Consumer<Comparison> step) {
    return Transformer.mutate(
        label,
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
                    .map(millis -> step(millis + " ms", comparison -> comparison.advance(millis)))))
        .withAction(
            1,
            action(
                KEYS.map(
                    key -> step("invalidate " + key, comparison -> comparison.invalidate(key)))))
        .withAction(
            2, action(INDEXES.map(i -> step("leave " + i, comparison -> comparison.leave(i)))))
        .withAction(
            2, action(INDEXES.map(i -> step("expire " + i, comparison -> comparison.expire(i)))))
        .withAction(
            2,
            action(
                Combinators.combine(INDEXES, RESULTS)
                    .as(
                        (i, result) ->
                            step(result + " " + i, comparison -> comparison.complete(i, result)))))
        .withMaxTransformations(500);
  }

  @Property(
      tries = 200,
      seed = "12",
      edgeCases = EdgeCasesMode.NONE,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void behavesLikeNaiveModelForRandomActions(@ForAll("chains") ActionChain<Comparison> chain) {
    chain.run().completeAll();
  }
}
