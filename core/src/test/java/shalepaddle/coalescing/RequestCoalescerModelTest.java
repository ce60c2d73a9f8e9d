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
 * {@link RequestCoalescer} beside a naive model of it that keeps everything in lists and looks all
 * of it through each time: 200 chains of 500 steps.
 */
class RequestCoalescerModelTest {
  private static final CoalescingConfig TUNING =
      new CoalescingConfig(true, false, 5, 0.02, 6, 0.02);
  private static final long MILLI = 1_000_000;

  /** A caller of the model. */
  private static final class Waits {
    final int id;
    final long deadline;
    final FlightWaiter<Integer> real;
    boolean over;

    Waits(int id, long deadline, FlightWaiter<Integer> real) {
      this.id = id;
      this.deadline = deadline;
      this.real = real;
    }
  }

  /** A flight of the model. */
  private static final class Out {
    final String likeness;
    final String key;
    final long begun;

    /** How many operations on its key had ended or been taken when it began. */
    final int touchedBefore;

    final List<Waits> callers = new ArrayList<>();
    boolean over;
    int retries;

    Out(String likeness, String key, long begun, int touchedBefore) {
      this.likeness = likeness;
      this.key = key;
      this.begun = begun;
      this.touchedBefore = touchedBefore;
    }

    List<Waits> waiting() {
      return callers.stream().filter(each -> !each.over).toList();
    }
  }

  /** Both of them, and all that they have said. */
  private static final class Both {
    final RequestCoalescer<Integer> real = new RequestCoalescer<>(TUNING);
    final List<Out> outs = new ArrayList<>();
    final Map<String, Integer> touched = new HashMap<>();
    final int[] answers = new int[20_000];
    double tokens = 10;
    long now;
    int next;
    long joined;
    long alone;
    long retried;
    long spent;

    List<Out> open() {
      return outs.stream().filter(each -> !each.over).toList();
    }

    void pass(int millis) {
      now += millis * MILLI;
    }

    void read(String key, String tenant, int patience) {
      int id = next++;
      long deadline = now + patience * MILLI;
      FlightWaiter<Integer> caller = real.join(key, "read", tenant, id, deadline, now);
      String likeness = key + "/" + tenant;
      int count = touched.getOrDefault(key, 0);
      Out found = null;
      for (Out out : open()) {
        if (out.likeness.equals(likeness)
            && out.touchedBefore == count
            && now - out.begun <= 20 * MILLI
            && out.callers.size() < 5) {
          found = out;
        }
      }
      if (found == null) {
        if (open().size() >= 6) {
          assertNull(caller);
          alone++;
          answers[id]++;
          return;
        }
        found = new Out(likeness, key, now, count);
        outs.add(found);
        assertEquals(caller, caller.flight().leader(), "it begins a flight");
      } else {
        joined++;
        tokens = Math.min(10, tokens + 0.02);
        assertEquals(found.callers.get(0).real.flight(), caller.flight(), "it joins that one");
      }
      found.callers.add(new Waits(id, deadline, caller));
      long latest = found.waiting().stream().mapToLong(each -> each.deadline).max().getAsLong();
      assertTrue(caller.flight().deadline() >= latest);
    }

    void touch(String key) {
      real.invalidate(key);
      touched.merge(key, 1, Integer::sum);
    }

    void leave(int which) {
      List<Out> open = open();
      if (open.isEmpty()) {
        return;
      }
      Out out = open.get(which % open.size());
      Waits gone = out.waiting().get(which / 7 % out.waiting().size());
      gone.over = true;
      answers[gone.id]++;
      out.over = out.waiting().isEmpty();
      assertEquals(out.over, real.leave(gone.real));
    }

    void due(int which) {
      List<Out> open = open();
      if (open.isEmpty()) {
        return;
      }
      Out out = open.get(which % open.size());
      if (out.callers.size() < 2) {
        return;
      }
      Flight<Integer> flight = out.callers.get(0).real.flight();
      List<Integer> due =
          out.waiting().stream()
              .filter(each -> each.deadline <= now)
              .sorted((a, b) -> Long.compare(a.deadline, b.deadline))
              .peek(each -> each.over = true)
              .map(each -> each.id)
              .toList();
      List<Integer> said = real.expire(flight, now).stream().map(FlightWaiter::caller).toList();
      assertEquals(due, said);
      said.forEach(id -> answers[id]++);
      out.over = out.waiting().isEmpty();
      assertEquals(out.over, flight.isOver());
      long least = out.waiting().stream().mapToLong(w -> w.deadline).min().orElse(Long.MAX_VALUE);
      assertTrue(flight.nextDue() == least || flight.deadline() == least || out.over);
    }

    void ends(int which, FlightResult ending) {
      List<Out> open = open();
      if (open.isEmpty()) {
        return;
      }
      Out out = open.get(which % open.size());
      FlightDecision<Integer> verdict =
          real.complete(out.callers.get(0).real.flight(), ending, now);
      List<Waits> waiting = out.waiting();
      boolean again = false;
      if (ending == FlightResult.BROKEN && waiting.size() > 1 && out.retries < 3) {
        if (tokens < 1) {
          spent++;
        } else {
          again = waiting.stream().skip(1).anyMatch(each -> each.deadline > now);
        }
      }
      List<Waits> told = again ? waiting.subList(0, 1) : waiting;
      assertEquals(again, verdict.retries());
      assertEquals(
          told.stream().map(each -> each.id).toList(),
          verdict.recipients().stream().map(FlightWaiter::caller).toList());
      told.forEach(
          each -> {
            each.over = true;
            answers[each.id]++;
          });
      if (again) {
        tokens--;
        retried++;
        out.retries++;
        assertEquals(out.waiting().get(0).id, waiting.get(1).real.flight().leader().caller());
      } else {
        out.over = true;
      }
      if (ending == FlightResult.SERVED) {
        touched.merge(out.key, 1, Integer::sum);
      }
    }

    void check() {
      CoalescingSnapshot reading = real.snapshot();
      int waiting = 0;
      for (Out out : open()) {
        waiting += out.waiting().size();
        for (Waits each : out.waiting()) {
          assertEquals(0, answers[each.id], "one that waits has no answer");
        }
      }
      assertEquals(open().size(), reading.openFlights());
      assertEquals(waiting, reading.waiters());
      assertEquals(outs.size(), reading.flights());
      assertEquals(joined, reading.joined());
      assertEquals(alone, reading.uncoalesced());
      assertEquals(retried, reading.retried());
      assertEquals(spent, reading.retriesDenied());
      assertTrue(real.keys() <= open().size());
    }

    /** Ends all that is open: then each caller has had exactly one end. */
    void end() {
      while (!open().isEmpty()) {
        ends(0, FlightResult.FINAL);
      }
      check();
      for (int id = 0; id < next; id++) {
        assertEquals(1, answers[id], "ends of caller " + id);
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

  private static final Arbitrary<FlightResult> ENDINGS =
      Arbitraries.of(
          FlightResult.SERVED,
          FlightResult.REJECTED,
          FlightResult.FINAL,
          FlightResult.BROKEN,
          FlightResult.BROKEN,
          FlightResult.BROKEN);

  private static Action.Independent<Both> action(Arbitrary<Transformer<Both>> steps) {
    return () -> steps;
  }

  private static Transformer<Both> step(String what, java.util.function.Consumer<Both> step) {
    return Transformer.mutate(
        what,
        both -> {
          step.accept(both);
          both.check();
        });
  }

  @Provide
  Arbitrary<ActionChain<Both>> chains() {
    return ActionChain.startWith(Both::new)
        .withAction(
            6,
            action(
                Combinators.combine(
                        KEYS, Arbitraries.of("x", "y", "z"), Arbitraries.integers().between(1, 60))
                    .as(
                        (key, tenant, patience) ->
                            step(
                                "read " + key + " of " + tenant + " for " + patience,
                                both -> both.read(key, tenant, patience)))))
        .withAction(
            2,
            action(
                Arbitraries.integers()
                    .between(0, 15)
                    .map(millis -> step(millis + " ms", both -> both.pass(millis)))))
        .withAction(1, action(KEYS.map(key -> step("touch " + key, both -> both.touch(key)))))
        .withAction(2, action(ANY.map(i -> step("leave " + i, both -> both.leave(i)))))
        .withAction(2, action(ANY.map(i -> step("due " + i, both -> both.due(i)))))
        .withAction(
            2,
            action(
                Combinators.combine(ANY, ENDINGS)
                    .as((i, how) -> step(how + " " + i, both -> both.ends(i, how)))))
        .withMaxTransformations(500);
  }

  @Property(
      tries = 200,
      seed = "12",
      edgeCases = EdgeCasesMode.NONE,
      afterFailure = AfterFailureMode.PREVIOUS_SEED)
  void itDoesWhatTheNaiveModelDoes(@ForAll("chains") ActionChain<Both> chain) {
    chain.run().end();
  }
}
