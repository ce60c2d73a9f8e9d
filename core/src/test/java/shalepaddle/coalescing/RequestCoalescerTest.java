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

  private final RequestCoalescer<Integer> joining = new RequestCoalescer<>(tuning(100, 10));
  private int next;

  private static CoalescingConfig tuning(int callers, int flights) {
    return new CoalescingConfig(true, false, callers, 0.25, flights, 0.1);
  }

  private FlightWaiter<Integer> read(String key, long deadlineMillis, long nowMillis) {
    return joining.join(key, "read", "a", next++, deadlineMillis * MILLI, nowMillis * MILLI);
  }

  private static List<Integer> who(List<FlightWaiter<Integer>> callers) {
    return callers.stream().map(FlightWaiter::caller).toList();
  }

  @Test
  void likeReadsShareAFlightAndOthersDoNot() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    assertSame(flight, read("k", 1000, 1).flight());
    assertNotSame(flight, read("other", 1000, 1).flight());
    assertNotSame(flight, joining.join("k", "scan", "a", 9, 1000 * MILLI, MILLI).flight());
    assertNotSame(flight, joining.join("k", "read", "b", 9, 1000 * MILLI, MILLI).flight());
    assertNotSame(flight, joining.join("k", "read", null, 9, 1000 * MILLI, MILLI).flight());
    assertSame(flight, read("k", 1000, 2).flight());
  }

  @Test
  void tenantsShareWhereTheyMay() {
    RequestCoalescer<Integer> all =
        new RequestCoalescer<>(new CoalescingConfig(true, true, 100, 0.25, 10, 0.1));
    assertSame(
        all.join("k", "read", "a", 0, MILLI, 0).flight(),
        all.join("k", "read", "b", 1, MILLI, 0).flight());
  }

  @Test
  void anAnswerGoesToAllInTheOrderOfTheirArrival() {
    Flight<Integer> flight = read("k", 900, 0).flight();
    for (int i = 1; i < 50; i++) {
      read("k", 900 - i, 1);
    }
    FlightDecision<Integer> verdict = joining.complete(flight, FlightResult.SERVED, 5 * MILLI);
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      order.add(i);
    }
    assertEquals(order, who(verdict.recipients()));
    assertFalse(verdict.retries());
    assertTrue(flight.isOver());
    assertEquals(new CoalescingSnapshot(1, 49, 0, 49, 0, 0, 0, 0, 0), joining.snapshot());
    assertEquals(0, joining.keys());
    assertEquals(List.of(), joining.complete(flight, FlightResult.SERVED, 6 * MILLI).recipients());
  }

  @Test
  void flightsAreNotJoinedPastTheirAgeOrTheirCallers() {
    Flight<Integer> old = read("k", 9000, 0).flight();
    assertSame(old, read("k", 9000, 250).flight());
    Flight<Integer> fresh = read("k", 9000, 251).flight();
    assertNotSame(old, fresh);
    for (int i = 1; i < 100; i++) {
      assertSame(fresh, read("k", 9000, 252).flight());
    }
    assertNotSame(fresh, read("k", 9000, 252).flight());
    // Who waits for the old one still does.
    assertEquals(
        List.of(0, 1), who(joining.complete(old, FlightResult.REJECTED, 300 * MILLI).recipients()));
  }

  @Test
  void pastTheirNumberReadsGoAlone() {
    for (int i = 0; i < 10; i++) {
      read("k" + i, 1000, 0);
    }
    assertNull(read("k10", 1000, 0));
    assertEquals(1, joining.snapshot().uncoalesced());
    assertTrue(read("k3", 1000, 0) != null, "one that is open can be joined");
  }

  @Test
  void aWriteBetweenTwoReadsKeepsTheSecondFromTheFirst() {
    Flight<Integer> before = read("k", 1000, 0).flight();
    joining.invalidate("k");
    Flight<Integer> during = read("k", 1000, 1).flight();
    assertNotSame(before, during);
    assertSame(during, read("k", 1000, 2).flight());
    joining.invalidate("k"); // The write has ended.
    assertNotSame(during, read("k", 1000, 3).flight());
  }

  @Test
  void aReadThatEndsKeepsNewcomersFromOlderFlightsOfItsKey() {
    Flight<Integer> older = read("k", 1000, 0).flight();
    Flight<Integer> others = joining.join("k", "read", "b", 9, 1000 * MILLI, MILLI).flight();
    joining.complete(others, FlightResult.SERVED, 2 * MILLI);
    assertNotSame(older, read("k", 1000, 3).flight());
  }

  @Test
  void whoLeavesLeavesAlone() {
    FlightWaiter<Integer> first = read("k", 1000, 0);
    FlightWaiter<Integer> second = read("k", 1000, 1);
    assertFalse(joining.leave(first));
    assertSame(second, first.flight().leader());
    assertFalse(joining.leave(first), "does nothing the second time");
    assertTrue(joining.leave(second));
    assertEquals(0, joining.snapshot().openFlights());
    assertNotSame(first.flight(), read("k", 1000, 2).flight());
  }

  @Test
  void thePatientKeepAFlightThatAnImpatientOneBegan() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    assertEquals(Long.MAX_VALUE, flight.nextDue(), "its time is the try's own");
    read("k", 2000, 10);
    read("k", 500, 20);
    assertEquals(2000 * MILLI, flight.deadline());
    assertEquals(100 * MILLI, flight.nextDue());
    assertEquals(List.of(0), who(joining.expire(flight, 100 * MILLI)));
    assertEquals(500 * MILLI, flight.nextDue());
    assertEquals(List.of(2), who(joining.expire(flight, 500 * MILLI)));
    assertEquals(Long.MAX_VALUE, flight.nextDue());
    assertEquals(
        List.of(1), who(joining.complete(flight, FlightResult.SERVED, 700 * MILLI).recipients()));
  }

  @Test
  void afterALongPauseAllMayBeDueTogether() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    read("k", 200, 0);
    assertEquals(List.of(0, 1), who(joining.expire(flight, 900 * MILLI)));
    assertTrue(flight.isOver());
    assertEquals(0, joining.snapshot().openFlights());
  }

  @Test
  void aBrokenTryIsTheBadLuckOfOne() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 500, 1);
    read("k", 800, 1);
    FlightDecision<Integer> verdict = joining.complete(flight, FlightResult.BROKEN, 10 * MILLI);
    assertEquals(List.of(0), who(verdict.recipients()));
    assertTrue(verdict.retries());
    assertEquals(1, flight.leader().caller());
    assertEquals(800 * MILLI, flight.deadline(), "nobody waits longer any more");
    assertEquals(500 * MILLI, flight.nextDue());
    assertEquals(
        List.of(1, 2), who(joining.complete(flight, FlightResult.SERVED, 20 * MILLI).recipients()));
  }

  @Test
  void aFlightThatGoesOnBreakingEndsForAll() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    for (int i = 1; i < 100; i++) {
      read("k", 1000, 1);
    }
    int tries = 1;
    while (joining.complete(flight, FlightResult.BROKEN, 10 * MILLI).retries()) {
      tries++;
    }
    assertEquals(4, tries);
    assertTrue(flight.isOver());
    assertEquals(0, joining.snapshot().waiters());
  }

  @Test
  void newTriesAreATenthOfThoseWhoJoinedInTheLongRun() {
    int retried = 0;
    for (int i = 0; i < 1000; i++) {
      Flight<Integer> flight = read("k", 1000, 0).flight();
      read("k", 1000, 0);
      while (joining.complete(flight, FlightResult.BROKEN, MILLI).retries()) {
        retried++;
      }
    }
    assertTrue(retried >= 100 && retried <= 110, retried + " for 1000 who joined");
    assertEquals(1000 - retried, joining.snapshot().retriesDenied());
  }

  @Test
  void nothingIsTriedAgainForWhomNoTimeIsLeft() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 10, 0);
    FlightDecision<Integer> verdict = joining.complete(flight, FlightResult.BROKEN, 20 * MILLI);
    assertEquals(List.of(0, 1), who(verdict.recipients()));
    assertFalse(verdict.retries());
  }

  @Test
  void aRefusalIsEverybodys() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 1000, 0);
    assertEquals(
        List.of(0, 1), who(joining.complete(flight, FlightResult.REJECTED, MILLI).recipients()));
  }

  @Test
  void whatBrokeIsToldFromWhatWasTurnedAway() {
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.RESET));
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.CONNECT_FAILED));
    assertEquals(FlightResult.BROKEN, FlightResult.ofRejection(Outcome.Result.MALFORMED_RESPONSE));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.SERVER_BUSY));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.ERROR));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(Outcome.Result.TIMEOUT));
    assertEquals(FlightResult.REJECTED, FlightResult.ofRejection(null));
  }

  @Test
  void adviceIsSpread() {
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
  void figuresOutOfRangeAreNamed(
      int callers, double age, int flights, double retries, String name) {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () -> new CoalescingConfig(true, false, callers, age, flights, retries));
    assertTrue(e.getMessage().startsWith(name + " is "), e.getMessage());
  }
}
