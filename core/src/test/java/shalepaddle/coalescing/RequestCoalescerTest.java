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

/** Tests which reads share a flight, and what its waiters get. */
class RequestCoalescerTest {
  private static final long NANOS_PER_MILLI = 1_000_000;

  private final RequestCoalescer<Integer> coalescer = new RequestCoalescer<>(config(100, 10));
  private int nextCaller;

  private static CoalescingConfig config(int maxWaiters, int maxFlights) {
    return new CoalescingConfig(true, false, maxWaiters, 0.25, maxFlights, 0.1);
  }

  /** Joins a read of the next caller; callers are numbered from 0. */
  private FlightWaiter<Integer> read(String key, long deadlineMillis, long nowMillis) {
    return coalescer.join(
        key,
        "read",
        "a",
        nextCaller++,
        deadlineMillis * NANOS_PER_MILLI,
        nowMillis * NANOS_PER_MILLI);
  }

  private static List<Integer> callersOf(List<FlightWaiter<Integer>> waiters) {
    return waiters.stream().map(FlightWaiter::caller).toList();
  }

  @Test
  void sharesFlightBetweenEqualReadsOnly() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    assertSame(flight, read("k", 1000, 1).flight());
    assertNotSame(flight, read("other", 1000, 1).flight());
    assertNotSame(
        flight,
        coalescer.join("k", "scan", "a", 9, 1000 * NANOS_PER_MILLI, NANOS_PER_MILLI).flight());
    assertNotSame(
        flight,
        coalescer.join("k", "read", "b", 9, 1000 * NANOS_PER_MILLI, NANOS_PER_MILLI).flight());
    assertNotSame(
        flight,
        coalescer.join("k", "read", null, 9, 1000 * NANOS_PER_MILLI, NANOS_PER_MILLI).flight());
    assertSame(flight, read("k", 1000, 2).flight());
  }

  @Test
  void sharesFlightsAcrossTenantsWhenConfigured() {
    RequestCoalescer<Integer> tenantSharingCoalescer =
        new RequestCoalescer<>(new CoalescingConfig(true, true, 100, 0.25, 10, 0.1));
    assertSame(
        tenantSharingCoalescer.join("k", "read", "a", 0, NANOS_PER_MILLI, 0).flight(),
        tenantSharingCoalescer.join("k", "read", "b", 1, NANOS_PER_MILLI, 0).flight());
  }

  @Test
  void answersAllWaitersInOrderOfArrival() {
    Flight<Integer> flight = read("k", 900, 0).flight();
    for (int i = 1; i < 50; i++) {
      read("k", 900 - i, 1);
    }
    FlightDecision<Integer> decision =
        coalescer.complete(flight, FlightResult.SERVED, 5 * NANOS_PER_MILLI);
    List<Integer> expectedOrder = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      expectedOrder.add(i);
    }
    assertEquals(expectedOrder, callersOf(decision.recipients()));
    assertFalse(decision.isFlightRetried());
    assertTrue(flight.isClosed());
    assertEquals(new CoalescingSnapshot(1, 49, 0, 49, 0, 0, 0, 0, 0), coalescer.snapshot());
    assertEquals(0, coalescer.keyCount());
    assertEquals(
        List.of(),
        coalescer.complete(flight, FlightResult.SERVED, 6 * NANOS_PER_MILLI).recipients());
  }

  @Test
  void doesNotJoinFlightPastMaxAgeOrMaxWaiters() {
    Flight<Integer> expiredFlight = read("k", 9000, 0).flight();
    assertSame(expiredFlight, read("k", 9000, 250).flight());
    Flight<Integer> newFlight = read("k", 9000, 251).flight();
    assertNotSame(expiredFlight, newFlight);
    for (int i = 1; i < 100; i++) {
      assertSame(newFlight, read("k", 9000, 252).flight());
    }
    assertNotSame(newFlight, read("k", 9000, 252).flight());
    // The waiters of the flight that can no longer be joined are still answered.
    assertEquals(
        List.of(0, 1),
        callersOf(
            coalescer
                .complete(expiredFlight, FlightResult.REJECTED, 300 * NANOS_PER_MILLI)
                .recipients()));
  }

  @Test
  void doesNotCoalescePastMaxFlights() {
    for (int i = 0; i < 10; i++) {
      read("k" + i, 1000, 0);
    }
    assertNull(read("k10", 1000, 0));
    assertEquals(1, coalescer.snapshot().uncoalescedReads());
    assertTrue(read("k3", 1000, 0) != null, "a read joins a flight that is open");
  }

  @Test
  void doesNotShareFlightBetweenReadsBeforeAndAfterWrite() {
    Flight<Integer> flightBeforeWrite = read("k", 1000, 0).flight();
    coalescer.invalidate("k");
    Flight<Integer> flightDuringWrite = read("k", 1000, 1).flight();
    assertNotSame(flightBeforeWrite, flightDuringWrite);
    assertSame(flightDuringWrite, read("k", 1000, 2).flight());
    coalescer.invalidate("k"); // The write ends.
    assertNotSame(flightDuringWrite, read("k", 1000, 3).flight());
  }

  @Test
  void doesNotJoinOlderFlightAfterCompletedReadOfSameKey() {
    Flight<Integer> olderFlight = read("k", 1000, 0).flight();
    Flight<Integer> completedFlight =
        coalescer.join("k", "read", "b", 9, 1000 * NANOS_PER_MILLI, NANOS_PER_MILLI).flight();
    coalescer.complete(completedFlight, FlightResult.SERVED, 2 * NANOS_PER_MILLI);
    assertNotSame(olderFlight, read("k", 1000, 3).flight());
  }

  @Test
  void continuesFlightForRemainingWaitersWhenOneLeaves() {
    FlightWaiter<Integer> firstWaiter = read("k", 1000, 0);
    FlightWaiter<Integer> secondWaiter = read("k", 1000, 1);
    assertFalse(coalescer.leave(firstWaiter));
    assertSame(secondWaiter, firstWaiter.flight().leader());
    assertFalse(coalescer.leave(firstWaiter), "the waiter has already left");
    assertTrue(coalescer.leave(secondWaiter));
    assertEquals(0, coalescer.snapshot().openFlights());
    assertNotSame(firstWaiter.flight(), read("k", 1000, 2).flight());
  }

  @Test
  void extendsFlightDeadlineToLatestOfItsWaiters() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    assertEquals(
        Long.MAX_VALUE, flight.nextDeadline(), "no waiter has an earlier deadline than the flight");
    read("k", 2000, 10);
    read("k", 500, 20);
    assertEquals(2000 * NANOS_PER_MILLI, flight.latestDeadlineNanos());
    assertEquals(100 * NANOS_PER_MILLI, flight.nextDeadline());
    assertEquals(List.of(0), callersOf(coalescer.expire(flight, 100 * NANOS_PER_MILLI)));
    assertEquals(500 * NANOS_PER_MILLI, flight.nextDeadline());
    assertEquals(List.of(2), callersOf(coalescer.expire(flight, 500 * NANOS_PER_MILLI)));
    assertEquals(Long.MAX_VALUE, flight.nextDeadline());
    assertEquals(
        List.of(1),
        callersOf(
            coalescer.complete(flight, FlightResult.SERVED, 700 * NANOS_PER_MILLI).recipients()));
  }

  @Test
  void expiresAllWaitersTogetherAfterStall() {
    Flight<Integer> flight = read("k", 100, 0).flight();
    read("k", 200, 0);
    assertEquals(List.of(0, 1), callersOf(coalescer.expire(flight, 900 * NANOS_PER_MILLI)));
    assertTrue(flight.isClosed());
    assertEquals(0, coalescer.snapshot().openFlights());
  }

  @Test
  void failsLeaderAndRetriesForOthersWhenAttemptBreaks() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 500, 1);
    read("k", 800, 1);
    FlightDecision<Integer> decision =
        coalescer.complete(flight, FlightResult.BROKEN, 10 * NANOS_PER_MILLI);
    assertEquals(List.of(0), callersOf(decision.recipients()));
    assertTrue(decision.isFlightRetried());
    assertEquals(1, flight.leader().caller());
    assertEquals(
        800 * NANOS_PER_MILLI,
        flight.latestDeadlineNanos(),
        "the flight has the latest deadline of the remaining waiters");
    assertEquals(500 * NANOS_PER_MILLI, flight.nextDeadline());
    assertEquals(
        List.of(1, 2),
        callersOf(
            coalescer.complete(flight, FlightResult.SERVED, 20 * NANOS_PER_MILLI).recipients()));
  }

  @Test
  void answersAllWaitersAfterMaxRetries() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    for (int i = 1; i < 100; i++) {
      read("k", 1000, 1);
    }
    int attemptCount = 1;
    while (coalescer
        .complete(flight, FlightResult.BROKEN, 10 * NANOS_PER_MILLI)
        .isFlightRetried()) {
      attemptCount++;
    }
    assertEquals(4, attemptCount);
    assertTrue(flight.isClosed());
    assertEquals(0, coalescer.snapshot().waiters());
  }

  @Test
  void limitsRetriesToRatioOfJoins() {
    int retryCount = 0;
    for (int i = 0; i < 1000; i++) {
      Flight<Integer> flight = read("k", 1000, 0).flight();
      read("k", 1000, 0);
      while (coalescer.complete(flight, FlightResult.BROKEN, NANOS_PER_MILLI).isFlightRetried()) {
        retryCount++;
      }
    }
    assertTrue(retryCount >= 100 && retryCount <= 110, retryCount + " retries for 1000 joins");
    assertEquals(1000 - retryCount, coalescer.snapshot().deniedRetries());
  }

  @Test
  void doesNotRetryWhenNoWaiterHasTimeLeft() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 10, 0);
    FlightDecision<Integer> decision =
        coalescer.complete(flight, FlightResult.BROKEN, 20 * NANOS_PER_MILLI);
    assertEquals(List.of(0, 1), callersOf(decision.recipients()));
    assertFalse(decision.isFlightRetried());
  }

  @Test
  void rejectsAllWaitersWhenAttemptIsRejected() {
    Flight<Integer> flight = read("k", 1000, 0).flight();
    read("k", 1000, 0);
    assertEquals(
        List.of(0, 1),
        callersOf(coalescer.complete(flight, FlightResult.REJECTED, NANOS_PER_MILLI).recipients()));
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
  void spreadsRetryAfterOverRejectedCallers() {
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
      int maxWaiters, double maxAgeSeconds, int maxFlights, double retriesPerJoin, String name) {
    IllegalArgumentException e =
        assertThrows(
            IllegalArgumentException.class,
            () ->
                new CoalescingConfig(
                    true, false, maxWaiters, maxAgeSeconds, maxFlights, retriesPerJoin));
    assertTrue(e.getMessage().startsWith(name + " is "), e.getMessage());
  }
}
