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

/** A dispatcher whose every send takes 2 ms of a clock that runs for nothing else. */
class TurnsTest {
  private final List<String> sent = new ArrayList<>();
  private final List<Reply> replies = new ArrayList<>();
  private final List<String> refused = new ArrayList<>();
  private final List<Long> turns = new ArrayList<>();

  private final VirtualEngine engine =
      new VirtualEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long nanos) {
              throw new AssertionError("a turn with work in it is no pause");
            }

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }

            @Override
            public void onTurnEnd(long begunAt, long now) {
              turns.add(TimeUnit.NANOSECONDS.toMillis(now - begunAt));
            }
          });

  private final Dispatcher dispatcher;

  TurnsTest() throws Exception {
    dispatcher =
        engine.start(
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
                sent.add(attempt.exchange().id());
                engine.ticker.advance(2, TimeUnit.MILLISECONDS);
              }

              @Override
              public void withdraw(Attempt attempt, boolean overdue) {}

              @Override
              public void closeIdle(long server) {}
            },
            7);
  }

  @AfterEach
  void nothingIsLeft() {
    dispatcher.close();
    assertEquals(0, dispatcher.openRequests());
    assertEquals(engine.released, replies.size(), "each payload is released once");
    engine.close();
  }

  private Submission submit(String id, boolean write) {
    Request request = new Request(id, null, write ? "write" : "read", null, 1, 0, 0, false, write);
    return dispatcher.submit(
        new Call(
            request,
            engine.payload(),
            reply -> {
              replies.add(reply);
              if (reply instanceof Reply.Rejected) {
                refused.add(id);
              }
            }));
  }

  /** Lets the loop run once, as it does after it has read. */
  private void turn() {
    engine.ticker.advance(1, TimeUnit.MICROSECONDS);
    engine.loop.runNow();
  }

  @Test
  void whatOneTurnCanNotBeginIsBegunInLaterOnesAndWritesComeFirst() {
    for (int i = 1; i <= 5; i++) {
      submit("r" + i, false);
    }
    submit("w1", true);
    assertEquals(List.of("r1", "r2"), sent, "no more than 3 ms are begun with in one turn");
    assertTrue(dispatcher.oldestQueuedNanos() <= TimeUnit.MILLISECONDS.toNanos(3));
    turn();
    assertEquals(List.of("r1", "r2", "w1", "r3"), sent);
    submit("r6", false);
    turn();
    turn();
    turn();
    assertEquals(List.of("r1", "r2", "w1", "r3", "r4", "r5", "r6"), sent);
    assertEquals(0, dispatcher.oldestQueuedNanos());
  }

  @Test
  void whatWaitsTooLongIsRefusedAndNeverSent() {
    for (int i = 0; i < 100; i++) {
      submit("r" + i, false);
    }
    for (int i = 0; i < 60; i++) {
      turn();
    }
    assertEquals(100, sent.size() + refused.size());
    assertTrue(refused.size() > 50, refused.size() + " refused");
    assertTrue(refused.stream().noneMatch(sent::contains), "sent and refused");
    assertTrue(
        turns.stream().allMatch(millis -> millis <= 6), "turns of " + turns + " milliseconds");
  }

  @Test
  void whoLeavesWhileItWaitsIsNotSent() {
    submit("r1", false);
    submit("r2", false);
    Submission gone = submit("r3", false);
    dispatcher.clientDisconnected(gone);
    turn();
    turn();
    assertEquals(List.of("r1", "r2"), sent);
    replies.add(null); // It is owed no reply; its payload is released all the same.
  }

  @Test
  void anEndRefusesWhatWaits() {
    for (int i = 1; i <= 5; i++) {
      submit("r" + i, false);
    }
    dispatcher.close();
    assertEquals(List.of("r3", "r4", "r5"), refused.subList(0, 3));
    assertEquals(5, replies.size(), "those that were begun hear of the end too");
    turn();
    assertEquals(List.of("r1", "r2"), sent);
  }
}
