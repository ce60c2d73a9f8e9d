package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Call;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Reply;
import shalepaddle.engine.Submission;
import shalepaddle.engine.Upstream;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.Request;

/**
 * Requests that a turn of the event loop has no time to route. A send takes 2 ms of virtual time, a
 * turn without a send 1 µs.
 */
class RequestQueueTest {
  private final List<String> sentIds = new ArrayList<>();
  private final List<Reply> replies = new ArrayList<>();
  private final List<String> rejectedIds = new ArrayList<>();
  private final List<Long> turnDurationsMillis = new ArrayList<>();

  private final VirtualTimeEngine engine =
      new VirtualTimeEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long stallNanos) {
              throw new AssertionError("a turn that routes requests counted as a stall");
            }

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }

            @Override
            public void onTurnEnd(long begunAtNanos, long nowNanos) {
              turnDurationsMillis.add(TimeUnit.NANOSECONDS.toMillis(nowNanos - begunAtNanos));
            }
          });

  private final Dispatcher dispatcher;

  RequestQueueTest() throws Exception {
    dispatcher =
        engine.startDispatcher(
            """
            "attempts-cap":1
            """,
            """
            {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2},
            {"name":"write","effect":"fragile","slo":0.3,"give-up":2,"credit":5}
            """,
            CoalescingConfig.OFF,
            new Upstream() {
              @Override
              public void send(Attempt attempt) {
                sentIds.add(attempt.exchange().id());
                engine.ticker.advance(2, TimeUnit.MILLISECONDS);
              }

              @Override
              public void withdraw(Attempt attempt, boolean isOverdue) {}

              @Override
              public void closeIdle(long serverId) {}
            },
            7);
  }

  @AfterEach
  void closeAndAssertPayloadsReleased() {
    dispatcher.close();
    assertEquals(0, dispatcher.openRequests());
    assertEquals(
        engine.releasedPayloads, replies.size(), "released payloads do not match the replies");
    engine.close();
  }

  private Submission submit(String id, boolean isWrite) {
    Request request =
        new Request(id, null, isWrite ? "write" : "read", null, 1, 0, 0, false, isWrite);
    return dispatcher.submit(
        new Call(
            request,
            engine.createPayload(),
            reply -> {
              replies.add(reply);
              if (reply instanceof Reply.Rejected) {
                rejectedIds.add(id);
              }
            }));
  }

  /** Runs one turn of the loop. */
  private void runTurn() {
    engine.ticker.advance(1, TimeUnit.MICROSECONDS);
    engine.loop.runNow();
  }

  @Test
  void routesQueuedRequestsInLaterTurnsAndWritesFirst() {
    for (int i = 1; i <= 5; i++) {
      submit("r" + i, false);
    }
    submit("w1", true);
    assertEquals(
        List.of("r1", "r2"), sentIds, "requests were routed for more than 3 ms in one turn");
    assertTrue(dispatcher.oldestQueuedNanos() <= TimeUnit.MILLISECONDS.toNanos(3));
    runTurn();
    assertEquals(List.of("r1", "r2", "w1", "r3"), sentIds);
    submit("r6", false);
    runTurn();
    runTurn();
    runTurn();
    assertEquals(List.of("r1", "r2", "w1", "r3", "r4", "r5", "r6"), sentIds);
    assertEquals(0, dispatcher.oldestQueuedNanos());
  }

  @Test
  void rejectsRequestsQueuedTooLongWithoutSendingThem() {
    for (int i = 0; i < 100; i++) {
      submit("r" + i, false);
    }
    for (int i = 0; i < 60; i++) {
      runTurn();
    }
    assertEquals(100, sentIds.size() + rejectedIds.size());
    assertTrue(rejectedIds.size() > 50, rejectedIds.size() + " rejected");
    assertTrue(
        rejectedIds.stream().noneMatch(sentIds::contains), "a request was both sent and rejected");
    assertTrue(
        turnDurationsMillis.stream().allMatch(millis -> millis <= 6),
        "a turn took more than 6 ms: " + turnDurationsMillis + " ms");
  }

  @Test
  void doesNotSendQueuedRequestWhenClientDisconnects() {
    submit("r1", false);
    submit("r2", false);
    Submission disconnectedSubmission = submit("r3", false);
    dispatcher.clientDisconnected(disconnectedSubmission);
    runTurn();
    runTurn();
    assertEquals(List.of("r1", "r2"), sentIds);
    // r3 gets no reply, but its payload is released too: this entry keeps both numbers equal.
    replies.add(null);
  }

  @Test
  void closeRejectsQueuedRequests() {
    for (int i = 1; i <= 5; i++) {
      submit("r" + i, false);
    }
    dispatcher.close();
    assertEquals(List.of("r3", "r4", "r5"), rejectedIds.subList(0, 3));
    assertEquals(5, replies.size(), "a request that was sent got no reply on close");
    runTurn();
    assertEquals(List.of("r1", "r2"), sentIds);
  }
}
