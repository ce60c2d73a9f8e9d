package shalepaddle.coalescing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shalepaddle.model.Outcome;

class RequestCoalescerTest {
  private static final long MILLI = 1_000_000;

  private final RequestCoalescer<Integer> coalescer = new RequestCoalescer<>(config(100, 10));
  private int next;

  private static CoalescingConfig config(int maxWaiters, int maxFlights) {
    return new CoalescingConfig(true, false, maxWaiters, 0.25, maxFlights, 0.1);
  }

  private FlightWaiter<Integer> read(String key, long deadlineMillis, long nowMillis) {
    return coalescer.join(key, "read", "a", next++, deadlineMillis * MILLI, nowMillis * MILLI);
  }

  private static List<Integer> callersOf(List<FlightWaiter<Integer>> waiters) {
    return waiters.stream().map(FlightWaiter::caller).toList();
  }

  @Test
  void equalReadsShareFlightAndOthersDoNot() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    assertSame(flight, read("k", 1000, 1).flight());
    assertNotSame(flight, read("other", 1000, 1).flight());
    assertNotSame(flight, coalescer.join("k", "scan", "a", 9, 1000 * MILLI, MILLI).flight());
    assertNotSame(flight, coalescer.join("k", "read", "b", 9, 1000 * MILLI, MILLI).flight());
    assertNotSame(flight, coalescer.join("k", "read", null, 9, 1000 * MILLI, MILLI).flight());
    assertSame(flight, read("k", 1000, 2).flight());
  }

  @Test
  void tenantsShareFlightsWhenConfigured() {
    RequestCoalescer<Integer> all =
        new RequestCoalescer<>(new CoalescingConfig(true, true, 100, 0.25, 10, 0.1));
    assertSame(
        all.join("k", "read", "a", 0, MILLI, 0).flight(),
        all.join("k", "read", "b", 1, MILLI, 0).flight());
  }

  @Test
  void answersAllWaitersInOrderOfArrival() {
    Flight<Integer> flight = read("k", 900, 0).flight();
    for (int i = 1; i < 50; i++) {
      read("k", 900 - i, 1);
    }
    FlightDecision<Integer> decision = coalescer.complete(flight, FlightResult.SERVED, 5 * MILLI);
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      order.add(i);
    }
    assertEquals(order, callersOf(decision.recipients()));
    assertFalse(decision.retries());
    assertTrue(flight.isClosed());
    assertEquals(new CoalescingSnapshot(1, 49, 0, 49, 0, 0, 0, 0, 0), coalescer.snapshot());
    assertEquals(0, coalescer.keys());
    assertEquals(
        List.of(), coalescer.complete(flight, FlightResult.SERVED, 6 * MILLI).recipients());
  }

  @Test
  void flightIsNotJoinedPastMaxAgeOrMaxWaiters() {
    Flight<Integer> old = read("k", 9000, 0).flight();
    assertSame(old, read("k", 9000, 250).flight());
    Flight<Integer> fresh = read("k", 9000, 251).flight();
    assertNotSame(old, fresh);
    for (int i = 1; i < 100; i++) {
      assertSame(fresh, read("k", 9000, 252).flight());
    }
    assertNotSame(fresh, read("k", 9000, 252).flight());
    // Waiters of the old flight still wait.
    assertEquals(
        List.of(0, 1),
        callersOf(coalescer.complete(old, FlightResult.REJECTED, 300 * MILLI).recipients()));
  }

  @Test
  void doesNotCoalescePastMaxFlights() {
    for (int i = 0; i < 10; i++) {
      read("k" + i, 1000, 0);
    }
    assertNull(read("k10", 1000, 0));
    assertEquals(1, coalescer.snapshot().uncoalesced());
    assertTrue(read("k3", 1000, 0) != null, "an open flight can be joined");
  }

  @Test
  void writeBetweenTwoReadsKeepsThemApart() {
    Flight<Integer> before = read("k", 1000, 0).flight();
    coalescer.invalidate("k");
    Flight<Integer> during = read("k", 1000, 1).flight();
    assertNotSame(before, during);
    assertSame(during, read("k", 1000, 2).flight());
    coalescer.invalidate("k"); // The write has ended.
    assertNotSame(during, read("k", 1000, 3).flight());
  }

  @Test
  void completedReadInvalidatesOlderFlightsOfItsKey() {
    Flight<Integer> older = read("k", 1000, 0).flight();
    Flight<Integer> others = coalescer.join("k", "read", "b", 9, 1000 * MILLI, MILLI).flight();
    coalescer.complete(others, FlightResult.SERVED, 2 * MILLI);
    assertNotSame(older, read("k", 1000, 3).flight());
  }

  @Test
  void leavingWaiterLeavesOthersInFlight() {
    FlightWaiter<Integer> first = read("k", 1000, 0);
    FlightWaiter<Integer> second = read("k", 1000, 1);
    assertFalse(coalescer.leave(first));
    assertSame(second, first.flight().leader());
    assertFalse(coalescer.leave(first), "no effect the second time");
    assertTrue(coalescer.leave(second));
    assertEquals(0, coalescer.snapshot().openFlights());
    assertNotSame(first.flight(), read("k", 1000, 2).flight());
  }

  @Test
  void flightLastsUntilLatestDeadlineOfItsWaiters() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    assertEquals(Long.MAX_VALUE, flight.nextDue(), "its deadline is the attempt's own");
    read("k", 2000, 10);
    read("k", 500, 20);
    assertEquals(2000 * MILLI, flight.deadline());
    assertEquals(100 * MILLI, flight.nextDue());
    assertEquals(List.of(0), callersOf(coalescer.expire(flight, 100 * MILLI)));
    assertEquals(500 * MILLI, flight.nextDue());
    assertEquals(List.of(2), callersOf(coalescer.expire(flight, 500 * MILLI)));
    assertEquals(Long.MAX_VALUE, flight.nextDue());
    assertEquals(
        List.of(1),
        callersOf(coalescer.complete(flight, FlightResult.SERVED, 700 * MILLI).recipients()));
  }

  @Test
  void allWaitersMayExpireTogetherAfterStall() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    read("k", 200, 0);
    assertEquals(List.of(0, 1), callersOf(coalescer.expire(flight, 900 * MILLI)));
    assertTrue(flight.isClosed());
    assertEquals(0, coalescer.snapshot().openFlights());
  }

  @Test
  void brokenAttemptFailsLeaderAndRetriesForOthers() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 500, 1);
    read("k", 800, 1);
    FlightDecision<Integer> decision = coalescer.complete(flight, FlightResult.BROKEN, 10 * MILLI);
    assertEquals(List.of(0), callersOf(decision.recipients()));
    assertTrue(decision.retries());
    assertEquals(1, flight.leader().caller());
    assertEquals(800 * MILLI, flight.deadline(), "the latest deadline of those that wait");
    assertEquals(500 * MILLI, flight.nextDue());
    assertEquals(
        List.of(1, 2),
        callersOf(coalescer.complete(flight, FlightResult.SERVED, 20 * MILLI).recipients()));
  }

  @Test
  void flightEndsForAllAfterMaxRetries() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    for (int i = 1; i < 100; i++) {
      read("k", 1000, 1);
    }
    int attempts = 1;
    while (coalescer.complete(flight, FlightResult.BROKEN, 10 * MILLI).retries()) {
      attempts++;
    }
    assertEquals(4, attempts);
    assertTrue(flight.isClosed());
    assertEquals(0, coalescer.snapshot().waiters());
  }

  @Test
  void retriesAreBoundedByRatioOfJoins() {
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
      Flight<Integer> flight = read("k", 1000, 0).flight();
      read("k", 1000, 0);
      while (coalescer.complete(flight, FlightResult.BROKEN, MILLI).retries()) {
        retried++;
      }
    }
    assertTrue(retried >= 100 && retried <= 110, retried + " for 1000 joins");
    assertEquals(1000 - retried, coalescer.snapshot().retriesDenied());
  }

  @Test
  void doesNotRetryWhenNoWaiterHasTimeLeft() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 10, 0);
    FlightDecision<Integer> decision = coalescer.complete(flight, FlightResult.BROKEN, 20 * MILLI);
    assertEquals(List.of(0, 1), callersOf(decision.recipients()));
    assertFalse(decision.retries());
  }

  @Test
  void rejectionGoesToAllWaiters() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 1000, 0);
    assertEquals(
        List.of(0, 1),
        callersOf(coalescer.complete(flight, FlightResult.REJECTED, MILLI).recipients()));
  }

  @Test
  void distinguishesBrokenAttemptsFromRejections() {
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.RESET));
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.CONNECT_FAILED));
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.MALFORMED_RESPONSE));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.SERVER_BUSY));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.ERROR));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.TIMEOUT));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(null));
  }

  @Test
  void spreadsRetryAfter() {
    assertEquals(100, RequestCoalescer.spreadRetryAfter(100, 1000, 0, 1));
    assertEquals(0, RequestCoalescer.spreadRetryAfter(0, 1000, 3, 5));
    assertEquals(75, RequestCoalescer.spreadRetryAfter(100, 1000, 0, 5));
    assertEquals(100, RequestCoalescer.spreadRetryAfter(100, 1000, 2, 5));
    assertEquals(125, RequestCoalescer.spreadRetryAfter(100, 1000, 4, 5));
    assertEquals(110, RequestCoalescer.spreadRetryAfter(100, 110, 4, 5));
  }

  @ParameterizedTest
  @CsvSource({
    "1, 0.25, 10, 0.1, callers",
    "100001, 0.25, 10, 0.1, callers",
    "2, 0, 10, 0.1, age_ms",
    "2, 0.25, 0, 0.1, flights",
    "2, 0.25, 10, 1.5, retries",
    "2, NaN, 10, 0.1, age_ms"
  })
  void namesSettingThatIsOutOfRange(
      int callers, double age, int flights, double retries, String name) {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> new CoalescingConfig(true, false, callers, age, flights, retries));
    assertTrue(e.getMessage().startsWith(name + " is "), e.getMessage());
  }
}
