package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.codec.meta.MetaReplies;
import shalepaddle.engine.Attempt;
import shalepaddle.engine.Call;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ServerReply;
import shalepaddle.engine.Submission;
import shalepaddle.engine.Upstream;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;

/** Like reads at a dispatcher whose servers are this test, in time that this test lets pass. */
class JoinedReadsTest {
  private static final long TICK = 1;

  private final List<Attempt> sent = new ArrayList<>();
  private final List<Attempt> withdrawn = new ArrayList<>();

  /** Answers by id, in the order in which they were given, and when in milliseconds. */
  private final Map<String, Reply> replies = new LinkedHashMap<>();

  private final Map<String, Long> answeredAt = new LinkedHashMap<>();
  private final Map<String, Submission> submissions = new LinkedHashMap<>();
  private int taken;

  /** Whether attempts wait for a connection. */
  private boolean noConnection;

  /** Whether attempts end as broken before their send returns. */
  private boolean breaksAtOnce;

  private final VirtualEngine engine =
      new VirtualEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long nanos) {}

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }

            @Override
            public void onTurnEnd(long begunAt, long now) {}
          });

  private Dispatcher dispatcher;

  JoinedReadsTest() throws Exception {
    start(1);
  }

  private void start(int maxAttempts) throws Exception {
    dispatcher =
        engine.start(
            """
            "attempts-cap":%d,"cancel":true,"retry-after":true,"max-retry-after":1
            """
                .formatted(maxAttempts),
            """
            {"name":"read","effect":"retryable","slo":0.75,"give-up":2,"credit":2},
            {"name":"once","effect":"fragile","slo":0.75,"give-up":2,"credit":2},
            {"name":"write","effect":"fragile","slo":0.3,"give-up":2,"credit":5}
            """,
            CoalescingConfig.DEFAULTS,
            new Servers(),
            7,
            8);
  }

  private final class Servers implements Upstream {
    @Override
    public void send(Attempt attempt) {
      sent.add(attempt);
      if (breaksAtOnce) {
        dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
        return;
      }
      if (!noConnection) {
        attempt.assignTo((gone, overdue) -> {});
        attempt.markWritten();
      }
    }

    @Override
    public void withdraw(Attempt attempt, boolean overdue) {
      withdrawn.add(attempt);
    }

    @Override
    public void closeIdle(long server) {}
  }

  @AfterEach
  void nothingIsLeft() {
    dispatcher.close();
    assertEquals(0, dispatcher.openRequests());
    assertEquals(0, dispatcher.timers().size());
    assertEquals(0, dispatcher.coalescingSnapshot().waiters());
    assertEquals(0, dispatcher.coalescingSnapshot().openFlights());
    assertEquals(taken, engine.released, "each payload is released once");
    for (Reply reply : replies.values()) {
      if (reply instanceof Reply.Value served && served.value().refCnt() > 0) {
        served.value().release();
      }
    }
    engine.close();
  }

  private Submission ask(String id, String type, long millis, Runnable then) {
    taken++;
    Request request =
        new Request(id, "key", type, null, millis / 1e3, 0, 0, false, type.equals("write"));
    Submission submission =
        dispatcher.submit(
            new Call(
                request,
                engine.payload(),
                reply -> {
                  assertNull(replies.put(id, reply), id + " is answered once");
                  answeredAt.put(id, engine.millis());
                  then.run();
                }));
    submissions.put(id, submission);
    return submission;
  }

  private Submission read(String id, long millis) {
    return ask(id, "read", millis, () -> {});
  }

  /**
   * Lets the key be known at its server: the policy then takes no read of it for a likely fetch, of
   * which one waits for the other.
   */
  private void warm() {
    read("warm", 1000);
    serve(sent.get(0), "warm");
    sent.clear();
    replies.clear();
  }

  private void gone(String id) {
    dispatcher.clientDisconnected(submissions.get(id));
  }

  private static ServerReply served(Attempt attempt, ByteBuf value) {
    return new ServerReply(
        Outcome.Result.OK,
        attempt.call().request().id(),
        null,
        value,
        Outcome.CacheStatus.HIT,
        null);
  }

  private ByteBuf serve(Attempt attempt, String text) {
    ByteBuf value = Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    dispatcher.responseReceived(attempt, served(attempt, value));
    value.release();
    return value;
  }

  private String value(String id) {
    Reply.Value served = assertInstanceOf(Reply.Value.class, replies.get(id), id);
    return served.value().toString(StandardCharsets.US_ASCII);
  }

  private static String idOf(Attempt attempt) {
    return attempt.call().request().id();
  }

  @Test
  void aHundredReadsAreOneAttemptAndAreAnsweredInTheirOrder() {
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      read("r" + i, 500 + 10 * ((i * 37) % 100));
      order.add("r" + i);
    }
    assertEquals(1, sent.size());
    engine.pass(40);
    ByteBuf value = serve(sent.get(0), "hello");
    assertEquals(order, new ArrayList<>(replies.keySet()));
    assertEquals(100, value.refCnt(), "one buffer, held by each of them");
    for (String id : order) {
      assertEquals("hello", value(id));
      ((Reply.Value) replies.get(id)).value().release();
    }
    assertEquals(0, value.refCnt());
    assertEquals(1, sent.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 10, 20, 30, 40, 50, 60, 70, 80, 99})
  void theFirstMayLeaveAtAnyPoint(int after) {
    List<String> order = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      read("r" + i, 2000);
      if (i == after) {
        gone("r0");
        if (i == 0) {
          assertEquals(List.of(sent.get(0)), withdrawn, "nobody else waits");
        }
      }
      engine.pass(i % 10 == 0 ? 1 : 0);
      if (i > 0) {
        order.add("r" + i);
      }
    }
    assertEquals(after == 0 ? 2 : 1, sent.size());
    serve(sent.get(sent.size() - 1), "v");
    assertEquals(order, new ArrayList<>(replies.keySet()));
  }

  @Test
  void eachWaitsForAsLongAsItWould() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 10L * (i + 1));
    }
    engine.pass(504);
    serve(sent.get(0), "late");
    engine.pass(600);
    assertEquals(1, sent.size());
    for (int i = 0; i < 100; i++) {
      long due = 10L * (i + 1);
      long at = answeredAt.get("r" + i);
      if (due <= 504) {
        assertEquals(new Reply.Failed(true), replies.get("r" + i));
        assertTrue(at <= due && at >= due - 2 * TICK, "due at " + due + ", told at " + at);
      } else {
        assertEquals("late", value("r" + i));
      }
    }
  }

  @Test
  void thePatientGetTheAnswerThatTheImpatientDidNot() {
    read("hasty", 100);
    engine.pass(20);
    read("patient", 1000);
    engine.pass(100);
    assertInstanceOf(Reply.Failed.class, replies.get("hasty"));
    assertEquals(List.of(), withdrawn, "its attempt has the other's time");
    engine.pass(500);
    serve(sent.get(0), "v");
    assertEquals("v", value("patient"));
  }

  @Test
  void whoJoinsWhileNothingHasBegunYetGivesTheRequestItsTime() {
    // Each request is begun at once here, but for those that a turn leaves to the next.
    noConnection = true;
    read("a", 50);
    read("b", 800);
    engine.pass(60);
    assertEquals(List.of("a"), List.copyOf(replies.keySet()));
    Attempt attempt = sent.get(0);
    assertEquals(
        "b", idOf(attempt), "what waits for a connection goes out in a waiting one's name");
    attempt.assignTo((gone, overdue) -> {});
    attempt.markWritten();
    serve(attempt, "v");
    assertEquals("v", value("b"));
  }

  @Test
  void aReadAfterAWriteGetsNothingThatWasReadBefore() {
    warm();
    read("before", 1000);
    ask("write", "write", 1000, () -> {});
    read("after", 1000);
    assertEquals(List.of("before", "write", "after"), sent.stream().map(a -> idOf(a)).toList());
    serve(sent.get(0), "old");
    assertEquals("old", value("before"));
    assertNull(replies.get("after"));
    serve(sent.get(2), "new");
    assertEquals("new", value("after"));
  }

  @Test
  void aReadAfterAWritesEndGetsNothingThatWasReadWhileItRan() {
    warm();
    ask("write", "write", 1000, () -> {});
    read("during", 1000);
    dispatcher.responseReceived(
        sent.get(0),
        new ServerReply(Outcome.Result.OK, "write", "7", null, Outcome.CacheStatus.NONE, null));
    assertEquals(new Reply.Receipt("7"), replies.get("write"));
    read("after", 1000);
    assertEquals(3, sent.size());
    serve(sent.get(1), "old");
    assertNull(replies.get("after"));
  }

  @Test
  void whatIsUnsafeToRepeatIsNotJoined() {
    warm();
    ask("a", "once", 1000, () -> {});
    ask("b", "once", 1000, () -> {});
    assertEquals(2, sent.size());
    read("c", 1000);
    serve(sent.get(0), "v");
    read("d", 1000);
    assertEquals(4, sent.size(), "what ended was news of the key");
  }

  @Test
  void aBrokenConnectionIsTheBadLuckOfOne() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    assertEquals(List.of("r0"), List.copyOf(replies.keySet()));
    assertEquals(List.of("r0", "r1"), sent.stream().map(a -> idOf(a)).toList());
    serve(sent.get(1), "v");
    assertEquals(100, replies.size());
    assertEquals("v", value("r99"));
  }

  @Test
  void oneFailureIsNotAHundredTries() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    for (int i = 0; i < sent.size(); i++) {
      dispatcher.attemptEnded(sent.get(i), Outcome.Result.RESET);
    }
    assertEquals(4, sent.size());
    assertEquals(100, replies.size());
  }

  @Test
  void whatIsRefusedAtOnceIsAnsweredAtOnce() {
    dispatcher.membership(new MembershipUpdate(MembershipUpdate.Kind.FULL, 2, List.of()));
    for (int i = 0; i < 3; i++) {
      read("r" + i, 1000);
      assertInstanceOf(Reply.Rejected.class, replies.get("r" + i));
    }
    assertEquals(0, dispatcher.openRequests());
  }

  @Test
  void whatBreaksAtOnceAgainAndAgainIsAnsweredForAll() {
    for (int i = 0; i < 10; i++) {
      read("r" + i, 1000);
    }
    breaksAtOnce = true;
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    assertEquals(4, sent.size());
    assertEquals(10, replies.size());
    assertEquals("r0", replies.keySet().iterator().next());
  }

  @Test
  void whatJoinsAfterABreakGivesTheNewTryItsTime() {
    read("a", 300);
    read("b", 300);
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    read("c", 2000);
    engine.pass(400);
    assertInstanceOf(Reply.Failed.class, replies.get("b"));
    serve(sent.get(1), "v");
    assertEquals("v", value("c"));
  }

  @Test
  void aServerThatTurnsAwayIsAskedOnceForAll() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.SERVER_BUSY);
    assertEquals(1, sent.size());
    assertEquals(100, replies.size());
    assertInstanceOf(Reply.Rejected.class, replies.get("r99"));
    // A key that is always refused is tried anew by each that comes after.
    read("next", 1000);
    assertEquals(2, sent.size());
  }

  @Test
  void aRetryGoesOutInTheNameOfOneThatWaits() throws Exception {
    start(3);
    read("a", 1000);
    read("b", 1000);
    read("c", 1000);
    gone("a");
    gone("b");
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    assertEquals(List.of("a", "c"), sent.stream().map(a -> idOf(a)).toList());
    assertTrue(sent.get(1).matches(served(sent.get(1), Unpooled.EMPTY_BUFFER)));
    serve(sent.get(1), "v");
    assertEquals("v", value("c"));
    assertEquals(1, replies.size());
  }

  @Test
  void whenAllHaveLeftTheAttemptIsGivenUp() {
    read("a", 1000);
    read("b", 1000);
    gone("b");
    gone("a");
    gone("a");
    assertEquals(1, withdrawn.size());
    assertEquals(0, dispatcher.openRequests());
    read("c", 1000);
    assertEquals(2, sent.size());
  }

  @Test
  void anIdIsInUseWhereverItsRequestWaits() {
    read("a", 1000);
    read("b", 1000);
    assertNull(read("a", 1000));
    assertNull(read("b", 1000));
    serve(sent.get(0), "v");
    assertEquals(2, replies.size());
    replies.clear();
    assertNotEquals(null, read("b", 1000));
  }

  @ParameterizedTest
  @CsvSource({"true, Failed", "false, Rejected"})
  void theEndAnswersAllWhoWait(boolean written, String due) {
    noConnection = !written;
    for (int i = 0; i < 20; i++) {
      read("r" + i, 1000);
    }
    dispatcher.close();
    assertEquals(20, replies.size());
    replies.forEach((id, reply) -> assertEquals(due, reply.getClass().getSimpleName(), id));
    read("late", 1000);
    assertInstanceOf(Reply.Rejected.class, replies.get("late"));
    assertEquals(1, sent.size());
  }

  @Test
  void aDrainGivesNobodyMoreTimeThanIsLeft() {
    read("a", 300);
    dispatcher.drainBy(engine.clock.now() + TimeUnit.MILLISECONDS.toNanos(500));
    read("b", 2000);
    engine.pass(510);
    assertTrue(answeredAt.get("b") <= 500, "answered at " + answeredAt);
    assertEquals(2, replies.size());
  }

  @Test
  void whoIsToldMayCallOffOthersAndAskAgain() {
    ask(
        "a",
        "read",
        1000,
        () -> {
          gone("b");
          read("again", 1000);
        });
    read("b", 1000);
    read("c", 1000);
    serve(sent.get(0), "v");
    assertEquals(List.of("a", "c"), List.copyOf(replies.keySet()));
    assertEquals(List.of("a", "again"), sent.stream().map(a -> idOf(a)).toList());
  }

  @Test
  void whoIsToldOfBadLuckMayAskAgainAndJoinsThoseWhoWait() {
    ask("a", "read", 1000, () -> read("again", 1000));
    read("b", 1000);
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    assertEquals(List.of("a", "b"), sent.stream().map(a -> idOf(a)).toList());
    serve(sent.get(1), "v");
    assertEquals("v", value("again"));
  }

  @Test
  void whoIsToldOfBadLuckMayCallOffAllOthers() {
    ask("a", "read", 1000, () -> gone("b"));
    read("b", 1000);
    dispatcher.attemptEnded(sent.get(0), Outcome.Result.RESET);
    assertEquals(1, sent.size());
    assertEquals(0, dispatcher.openRequests());
  }

  @Test
  void whoComesToAFlightThatIsTooOldBeginsAnother() {
    warm();
    read("a", 2000);
    for (int i = 0; i < 40; i++) {
      engine.pass(20);
      read("r" + i, 2000);
    }
    assertTrue(sent.size() >= 3 && sent.size() <= 4, sent.size() + " attempts in 800 ms");
    serve(sent.get(0), "v");
    assertEquals("v", value("a"), "nobody who joins keeps it waiting");
  }

  @Test
  void aLargeValueIsHeldOnceForAHundredSlowReaders() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    ByteBuf value = allocator.buffer(65_536).writeZero(65_536);
    dispatcher.responseReceived(sent.get(0), served(sent.get(0), value));
    value.release();
    List<ByteBuf> unread = new ArrayList<>();
    replies.forEach((id, reply) -> unread.add(MetaReplies.encode(allocator, id, reply)));
    long held = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    assertTrue(held < 65_536 + 100 * 64, held + " bytes");
    for (ByteBuf each : unread) {
      assertTrue(each.readableBytes() > 65_536);
      each.release();
    }
    assertEquals(0, allocator.metric().usedHeapMemory());
  }

  @Test
  void nothingIsSentThatWouldBeGivenUpInItsTick() throws Exception {
    start(3);
    ask("w", "once", 1000, () -> {});
    Attempt attempt = sent.get(0);
    // An attempt must end 2 ms before its request.
    engine.pass(997);
    engine.ticker.advance(600, TimeUnit.MICROSECONDS);
    dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    assertEquals(1, sent.size());
  }

  @Test
  void aServerThatLeavesKeepsWhatItHasAndGetsNothingNew() throws Exception {
    start(2);
    read("a", 2000);
    Attempt first = sent.get(0);
    long other = first.server() == 7 ? 8 : 7;
    dispatcher.membership(
        new MembershipUpdate(
            MembershipUpdate.Kind.DELTA,
            2,
            List.of(
                new ServerEntry(first.server(), "a", "m", 0, ServerEntry.State.DRAINING, 1, 0))));
    read("b", 2000);
    dispatcher.attemptEnded(first, Outcome.Result.RESET);
    assertEquals(other, sent.get(1).server());
    serve(sent.get(1), "v");
    assertEquals("v", value("a"));
    assertEquals("v", value("b"));
  }
}
