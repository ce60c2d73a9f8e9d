package shalepaddle.diagnostics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import org.junit.jupiter.api.Test;

class FlightRecorderTest {
  private long now;
  private final FlightRecorder recorder = new FlightRecorder(() -> now);

  @Test
  void historyHasEventsOfRequestItsConnectionAndProcess() {
    recorder.record(Event.READ_PAUSE_EARLY_RETRY, "c1");
    recorder.record(Event.READ_PAUSE_EARLY_RETRY, "c2");
    now = 100_000_000;
    recorder.record(Event.REQUEST_READ, "a");
    recorder.record(Event.REQUEST_READ, "b");
    recorder.record(Event.LOOP_STALLED, null, "0.1 to 0.3 s");
    now = 150_000_000;
    assertEquals(
        "-150.0:read_pause_early_retry -50.0:request_read -50.0:loop_stalled(0.1 to 0.3 s)",
        recorder.history("a", "c1"));
  }

  /** A series of equal events must not displace what happened before it. */
  @Test
  void historyListsRepeatedEventOnceWithItsNumber() {
    recorder.record(Event.REQUEST_READ, "a");
    for (int i = 0; i < 100; i++) {
      now = 10_000_000;
      recorder.record(Event.READ_PAUSE_CLIENT_ERROR, "c1");
    }
    recorder.record(Event.ATTEMPT_FIRST, "a");
    now = 30_000_000;
    assertEquals(
        "-30.0:request_read -20.0:read_pause_client_error*100 -20.0:attempt_first",
        recorder.history("a", "c1"));
  }

  @Test
  void retainsLatestEventsAndCountsAll() {
    for (int i = 0; i < 10_000; i++) {
      recorder.record(Event.ATTEMPT_RETRY, i == 0 ? "first" : "later");
    }
    assertEquals(10_000, recorder.count(Event.ATTEMPT_RETRY));
    assertEquals("", recorder.history("first", "none"));
    assertFalse(recorder.history("later", "none").isEmpty());
  }

  @Test
  void totalsListNonZeroCounts() {
    recorder.record(Event.REJECTED_POLICY, "a");
    recorder.count(Event.REJECTED_ADMISSION, 3);
    recorder.record(Event.REQUEST_READ, "a");
    assertEquals("rejections.admission=3 rejections.policy=1", recorder.totals());
  }

  @Test
  void countedEventsHaveMetricAndReason() {
    Event.countedEvents()
        .forEach(
            event -> {
              assertNotNull(event.metric());
              assertFalse(event.reason().startsWith("read_pause"), event.reason());
            });
    assertEquals("early_retry", Event.READ_PAUSE_EARLY_RETRY.reason());
  }
}
