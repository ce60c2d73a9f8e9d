package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
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
import shalepaddle.engine.ClientPresence;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.engine.ServerReply;
import shalepaddle.engine.Submission;
import shalepaddle.engine.Upstream;
import shalepaddle.loop.LoopClock;
import shalepaddle.model.MembershipUpdate;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.model.ServerEntry;

/** Tests that a dispatcher coalesces reads, in virtual time and without real servers. */
class CoalescedReadsTest {
  private static final long TICK_MILLIS = 1;

  private final List<Attempt> sentAttempts = new ArrayList<>();
  private final List<Attempt> withdrawnAttempts = new ArrayList<>();

  /** Replies by request id, in the order in which they were given. */
  private final Map<String, Reply> replies = new LinkedHashMap<>();

  /** Virtual time of each reply by request id, in milliseconds. */
  private final Map<String, Long> answeredAtMillis = new LinkedHashMap<>();

  /** What is known of the clients of requests; those that are not listed are connected. */
  private final Map<String, ClientPresence> presences = new HashMap<>();

  private final Map<String, Submission> submissions = new LinkedHashMap<>();
  private int submittedCount;

  /** Whether attempts wait for a connection, so that they are not written. */
  private boolean hasNoConnection;

  /** Whether each attempt fails before {@link Upstream#send} returns. */
  private boolean isFailingAtOnce;

  private final VirtualTimeEngine engine =
      new VirtualTimeEngine(
          new LoopClock.Listener() {
            @Override
            public void onStall(long stallNanos) {}

            @Override
            public void onTaskFailure(RuntimeException cause) {
              throw cause;
            }

            @Override
            public void onTurnEnd(long begunAtNanos, long nowNanos) {}
          });

  private Dispatcher dispatcher;

  CoalescedReadsTest() throws Exception {
    start(1);
  }

  private void start(int maxAttempts) throws Exception {
    dispatcher =
        engine.startDispatcher(
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
            new UpstreamStandIn(),
            7,
            8);
  }

  private final class UpstreamStandIn implements Upstream {
    @Override
    public void send(Attempt attempt) {
      sentAttempts.add(attempt);
      if (isFailingAtOnce) {
        dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
        return;
      }
      if (!hasNoConnection) {
        attempt.assignTo((cancelled, isOverdue) -> {});
        attempt.markWritten();
      }
    }

    @Override
    public void withdraw(Attempt attempt, boolean isOverdue) {
      withdrawnAttempts.add(attempt);
    }

    @Override
    public void closeIdle(long serverId) {}
  }

  @AfterEach
  void closeAndAssertPayloadsReleased() {
    dispatcher.close();
    assertEquals(0, dispatcher.openRequests());
    assertEquals(0, dispatcher.timers().size());
    assertEquals(0, dispatcher.coalescingSnapshot().waiters());
    assertEquals(0, dispatcher.coalescingSnapshot().openFlights());
    assertEquals(
        submittedCount, engine.releasedPayloads, "not each submitted payload was released once");
    for (Reply reply : replies.values()) {
      if (reply instanceof Reply.Value served && served.value().refCnt() > 0) {
        served.value().release();
      }
    }
    engine.close();
  }

  private Submission submit(String id, String serviceClass, long deadlineMillis, Runnable onReply) {
    submittedCount++;
    Request request =
        new Request(
            id,
            "key",
            serviceClass,
            null,
            deadlineMillis / 1e3,
            0,
            0,
            false,
            serviceClass.equals("write"));
    Submission submission =
        dispatcher.submit(
            new Call(
                request,
                engine.createPayload(),
                new ReplySink() {
                  @Override
                  public void reply(Reply reply) {
                    assertNull(replies.put(id, reply), id + " was answered twice");
                    answeredAtMillis.put(id, engine.elapsedMillis());
                    onReply.run();
                  }

                  @Override
                  public ClientPresence clientPresence(long now) {
                    return presences.getOrDefault(id, ClientPresence.CONNECTED);
                  }
                }));
    submissions.put(id, submission);
    return submission;
  }

  private Submission read(String id, long deadlineMillis) {
    return submit(id, "read", deadlineMillis, () -> {});
  }

  /**
   * Reads the key once, so that the policy knows that its server has the key. Reads of an unknown
   * key probably fetch from the origin, and the policy then delays the second read until the first
   * ends.
   */
  private void readKeyOnce() {
    read("warm", 1000);
    serve(sentAttempts.get(0), "warm");
    sentAttempts.clear();
    replies.clear();
  }

  private void disconnect(String id) {
    dispatcher.clientDisconnected(submissions.get(id));
  }

  private static ServerReply valueReply(Attempt attempt, ByteBuf value) {
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
    dispatcher.responseReceived(attempt, valueReply(attempt, value));
    value.release();
    return value;
  }

  private String servedText(String id) {
    Reply.Value served = assertInstanceOf(Reply.Value.class, replies.get(id), id);
    return served.value().toString(StandardCharsets.US_ASCII);
  }

  private static String idOf(Attempt attempt) {
    return attempt.call().request().id();
  }

  @Test
  void coalescesReadsIntoOneAttemptAndAnswersInOrder() {
    List<String> expectedOrder = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      read("r" + i, 500 + 10 * ((i * 37) % 100));
      expectedOrder.add("r" + i);
    }
    assertEquals(1, sentAttempts.size());
    engine.advanceMillis(40);
    ByteBuf value = serve(sentAttempts.get(0), "hello");
    assertEquals(expectedOrder, new ArrayList<>(replies.keySet()));
    assertEquals(100, value.refCnt(), "the replies do not all retain one buffer");
    for (String id : expectedOrder) {
      assertEquals("hello", servedText(id));
      ((Reply.Value) replies.get(id)).value().release();
    }
    assertEquals(0, value.refCnt());
    assertEquals(1, sentAttempts.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 10, 20, 30, 40, 50, 60, 70, 80, 99})
  void keepsAttemptWhenFirstClientDisconnects(int lastReadBeforeDisconnect) {
    List<String> expectedOrder = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      read("r" + i, 2000);
      if (i == lastReadBeforeDisconnect) {
        disconnect("r0");
        if (i == 0) {
          assertEquals(
              List.of(sentAttempts.get(0)),
              withdrawnAttempts,
              "the attempt was not withdrawn, though no other read waits");
        }
      }
      engine.advanceMillis(i % 10 == 0 ? 1 : 0);
      if (i > 0) {
        expectedOrder.add("r" + i);
      }
    }
    assertEquals(lastReadBeforeDisconnect == 0 ? 2 : 1, sentAttempts.size());
    serve(sentAttempts.get(sentAttempts.size() - 1), "v");
    assertEquals(expectedOrder, new ArrayList<>(replies.keySet()));
  }

  /** Guards against an attempt with the id of a client that has closed its connection unseen. */
  @Test
  void attemptCarriesIdOfConnectedClientWhenLeadersMayHaveDisconnected() {
    hasNoConnection = true;
    read("r0", 1000);
    read("r1", 1000);
    read("r2", 1000);
    presences.put("r0", ClientPresence.UNKNOWN);
    presences.put("r1", ClientPresence.UNKNOWN);
    Attempt attempt = sentAttempts.get(0);
    assertTrue(dispatcher.confirmClient(attempt));
    assertEquals("r2", idOf(attempt));
    assertInstanceOf(Reply.Rejected.class, replies.get("r0"));
    assertInstanceOf(Reply.Rejected.class, replies.get("r1"));
    serve(attempt, "v");
    assertEquals("v", servedText("r2"));
  }

  @Test
  void attemptIsNotWrittenWhenNoCoalescedClientIsKnownToBeConnected() {
    hasNoConnection = true;
    read("r0", 1000);
    read("r1", 1000);
    presences.put("r0", ClientPresence.UNKNOWN);
    presences.put("r1", ClientPresence.UNKNOWN);
    assertFalse(dispatcher.confirmClient(sentAttempts.get(0)));
    assertTrue(sentAttempts.get(0).isEnded());
    assertInstanceOf(Reply.Rejected.class, replies.get("r0"));
    assertInstanceOf(Reply.Rejected.class, replies.get("r1"));
  }

  @Test
  void requestIsRejectedWhenItsClientMayHaveDisconnected() {
    hasNoConnection = true;
    submit("w", "write", 1000, () -> {});
    presences.put("w", ClientPresence.UNKNOWN);
    assertFalse(dispatcher.confirmClient(sentAttempts.get(0)));
    assertTrue(sentAttempts.get(0).isEnded());
    assertInstanceOf(Reply.Rejected.class, replies.get("w"));
  }

  /** Guards against requests of a client that never stops sending waiting until their deadline. */
  @Test
  void requestIsRejectedWhenItsClientIsNotKnownToBeConnectedSoon() {
    hasNoConnection = true;
    submit("w", "write", 1000, () -> {});
    presences.put("w", ClientPresence.UNCONFIRMED);
    for (int i = 0; i < 60; i++) {
      Attempt attempt = sentAttempts.get(sentAttempts.size() - 1);
      if (!attempt.isEnded()) {
        assertFalse(dispatcher.confirmClient(attempt));
      }
      engine.advanceMillis(2);
    }
    assertInstanceOf(Reply.Rejected.class, replies.get("w"));
    assertTrue(answeredAtMillis.get("w") >= 100, answeredAtMillis.toString());
  }

  @Test
  void attemptIsSentAgainOnceItsClientIsKnownToBeConnected() {
    hasNoConnection = true;
    submit("w", "write", 1000, () -> {});
    Attempt attempt = sentAttempts.get(0);
    presences.put("w", ClientPresence.UNCONFIRMED);
    assertFalse(dispatcher.confirmClient(attempt));
    assertEquals(1, sentAttempts.size());
    presences.put("w", ClientPresence.CONNECTED);
    engine.advanceMillis(2);
    assertEquals(List.of(attempt, attempt), sentAttempts);
    assertTrue(dispatcher.confirmClient(attempt));
  }

  @Test
  void failsEachReadAtItsOwnDeadline() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 10L * (i + 1));
    }
    engine.advanceMillis(504);
    serve(sentAttempts.get(0), "late");
    engine.advanceMillis(600);
    assertEquals(1, sentAttempts.size());
    for (int i = 0; i < 100; i++) {
      long dueMillis = 10L * (i + 1);
      long answeredMillis = answeredAtMillis.get("r" + i);
      if (dueMillis <= 504) {
        assertEquals(new Reply.Failed(true), replies.get("r" + i));
        assertTrue(
            answeredMillis <= dueMillis && answeredMillis >= dueMillis - 2 * TICK_MILLIS,
            "reply due at " + dueMillis + " ms, answered at " + answeredMillis + " ms");
      } else {
        assertEquals("late", servedText("r" + i));
      }
    }
  }

  @Test
  void servesReadWithLaterDeadlineWhenFirstHasExpired() {
    read("hasty", 100);
    engine.advanceMillis(20);
    read("patient", 1000);
    engine.advanceMillis(100);
    assertInstanceOf(Reply.Failed.class, replies.get("hasty"));
    assertEquals(
        List.of(), withdrawnAttempts, "the attempt was withdrawn, though another read waits");
    engine.advanceMillis(500);
    serve(sentAttempts.get(0), "v");
    assertEquals("v", servedText("patient"));
  }

  @Test
  void extendsDeadlineOfUnwrittenAttemptWhenReadJoins() {
    // The dispatcher routes a request in submit, unless this turn has no time left for it.
    hasNoConnection = true;
    read("a", 50);
    read("b", 800);
    engine.advanceMillis(60);
    assertEquals(List.of("a"), List.copyOf(replies.keySet()));
    Attempt attempt = sentAttempts.get(0);
    assertEquals("b", idOf(attempt), "the attempt does not have the id of a read that waits");
    attempt.assignTo((cancelled, isOverdue) -> {});
    attempt.markWritten();
    serve(attempt, "v");
    assertEquals("v", servedText("b"));
  }

  @Test
  void readSubmittedAfterWriteDoesNotJoinEarlierRead() {
    readKeyOnce();
    read("before", 1000);
    submit("write", "write", 1000, () -> {});
    read("after", 1000);
    assertEquals(
        List.of("before", "write", "after"), sentAttempts.stream().map(a -> idOf(a)).toList());
    serve(sentAttempts.get(0), "old");
    assertEquals("old", servedText("before"));
    assertNull(replies.get("after"));
    serve(sentAttempts.get(2), "new");
    assertEquals("new", servedText("after"));
  }

  @Test
  void readSubmittedAfterWriteEndsDoesNotJoinReadDuringWrite() {
    readKeyOnce();
    submit("write", "write", 1000, () -> {});
    read("during", 1000);
    dispatcher.responseReceived(
        sentAttempts.get(0),
        new ServerReply(Outcome.Result.OK, "write", "7", null, Outcome.CacheStatus.NONE, null));
    assertEquals(new Reply.Receipt("7"), replies.get("write"));
    read("after", 1000);
    assertEquals(3, sentAttempts.size());
    serve(sentAttempts.get(1), "old");
    assertNull(replies.get("after"));
  }

  @Test
  void doesNotCoalesceNonIdempotentRequests() {
    readKeyOnce();
    submit("a", "once", 1000, () -> {});
    submit("b", "once", 1000, () -> {});
    assertEquals(2, sentAttempts.size());
    read("c", 1000);
    serve(sentAttempts.get(0), "v");
    read("d", 1000);
    assertEquals(
        4,
        sentAttempts.size(),
        "a read joined a read that was sent before another request for the key ended");
  }

  @Test
  void failsOnlyFirstReadWhenConnectionBreaks() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    assertEquals(List.of("r0"), List.copyOf(replies.keySet()));
    assertEquals(List.of("r0", "r1"), sentAttempts.stream().map(a -> idOf(a)).toList());
    serve(sentAttempts.get(1), "v");
    assertEquals(100, replies.size());
    assertEquals("v", servedText("r99"));
  }

  @Test
  void limitsRetriesOfCoalescedReads() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    for (int i = 0; i < sentAttempts.size(); i++) {
      dispatcher.attemptEnded(sentAttempts.get(i), Outcome.Result.RESET);
    }
    assertEquals(4, sentAttempts.size());
    assertEquals(100, replies.size());
  }

  @Test
  void rejectsReadsAtOnceWhenServerListIsEmpty() {
    dispatcher.onMembershipUpdate(new MembershipUpdate(MembershipUpdate.Kind.FULL, 2, List.of()));
    for (int i = 0; i < 3; i++) {
      read("r" + i, 1000);
      assertInstanceOf(Reply.Rejected.class, replies.get("r" + i));
    }
    assertEquals(0, dispatcher.openRequests());
  }

  @Test
  void answersAllReadsWhenEachRetryFailsAtOnce() {
    for (int i = 0; i < 10; i++) {
      read("r" + i, 1000);
    }
    isFailingAtOnce = true;
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    assertEquals(4, sentAttempts.size());
    assertEquals(10, replies.size());
    assertEquals("r0", replies.keySet().iterator().next());
  }

  @Test
  void extendsDeadlineOfRetryWhenReadJoins() {
    read("a", 300);
    read("b", 300);
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    read("c", 2000);
    engine.advanceMillis(400);
    assertInstanceOf(Reply.Failed.class, replies.get("b"));
    serve(sentAttempts.get(1), "v");
    assertEquals("v", servedText("c"));
  }

  @Test
  void rejectsAllReadsAfterOneAttemptWhenServerIsBusy() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.SERVER_BUSY);
    assertEquals(1, sentAttempts.size());
    assertEquals(100, replies.size());
    assertInstanceOf(Reply.Rejected.class, replies.get("r99"));
    // The rejection ends the flight: the next read makes an attempt of its own.
    read("next", 1000);
    assertEquals(2, sentAttempts.size());
  }

  @Test
  void sendsRetryWithIdOfReadThatWaits() throws Exception {
    start(3);
    read("a", 1000);
    read("b", 1000);
    read("c", 1000);
    disconnect("a");
    disconnect("b");
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    assertEquals(List.of("a", "c"), sentAttempts.stream().map(a -> idOf(a)).toList());
    assertTrue(sentAttempts.get(1).matches(valueReply(sentAttempts.get(1), Unpooled.EMPTY_BUFFER)));
    serve(sentAttempts.get(1), "v");
    assertEquals("v", servedText("c"));
    assertEquals(1, replies.size());
  }

  @Test
  void withdrawsAttemptWhenAllClientsDisconnect() {
    read("a", 1000);
    read("b", 1000);
    disconnect("b");
    disconnect("a");
    disconnect("a");
    assertEquals(1, withdrawnAttempts.size());
    assertEquals(0, dispatcher.openRequests());
    read("c", 1000);
    assertEquals(2, sentAttempts.size());
  }

  @Test
  void submitReturnsNullForIdOfReadThatWaits() {
    read("a", 1000);
    read("b", 1000);
    assertNull(read("a", 1000));
    assertNull(read("b", 1000));
    serve(sentAttempts.get(0), "v");
    assertEquals(2, replies.size());
    replies.clear();
    assertNotEquals(null, read("b", 1000));
  }

  @ParameterizedTest
  @CsvSource({"true, Failed", "false, Rejected"})
  void closeAnswersAllWaitingReads(boolean isWritten, String replyType) {
    hasNoConnection = !isWritten;
    for (int i = 0; i < 20; i++) {
      read("r" + i, 1000);
    }
    dispatcher.close();
    assertEquals(20, replies.size());
    replies.forEach((id, reply) -> assertEquals(replyType, reply.getClass().getSimpleName(), id));
    read("late", 1000);
    assertInstanceOf(Reply.Rejected.class, replies.get("late"));
    assertEquals(1, sentAttempts.size());
  }

  @Test
  void drainShortensDeadlineOfReadThatJoinsFlight() {
    read("a", 300);
    dispatcher.drainBy(engine.clock.now() + TimeUnit.MILLISECONDS.toNanos(500));
    read("b", 2000);
    engine.advanceMillis(510);
    assertTrue(
        answeredAtMillis.get("b") <= 500, "milliseconds of the replies: " + answeredAtMillis);
    assertEquals(2, replies.size());
  }

  @Test
  void sinkMayCancelOtherReadsAndSubmitAgain() {
    submit(
        "a",
        "read",
        1000,
        () -> {
          disconnect("b");
          read("again", 1000);
        });
    read("b", 1000);
    read("c", 1000);
    serve(sentAttempts.get(0), "v");
    assertEquals(List.of("a", "c"), List.copyOf(replies.keySet()));
    assertEquals(List.of("a", "again"), sentAttempts.stream().map(a -> idOf(a)).toList());
  }

  @Test
  void readSubmittedBySinkOnFailureJoinsWaitingReads() {
    submit("a", "read", 1000, () -> read("again", 1000));
    read("b", 1000);
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    assertEquals(List.of("a", "b"), sentAttempts.stream().map(a -> idOf(a)).toList());
    serve(sentAttempts.get(1), "v");
    assertEquals("v", servedText("again"));
  }

  @Test
  void doesNotRetryWhenSinkCancelsAllOtherReads() {
    submit("a", "read", 1000, () -> disconnect("b"));
    read("b", 1000);
    dispatcher.attemptEnded(sentAttempts.get(0), Outcome.Result.RESET);
    assertEquals(1, sentAttempts.size());
    assertEquals(0, dispatcher.openRequests());
  }

  @Test
  void beginsNewFlightWhenOpenFlightIsTooOld() {
    readKeyOnce();
    read("a", 2000);
    for (int i = 0; i < 40; i++) {
      engine.advanceMillis(20);
      read("r" + i, 2000);
    }
    assertTrue(
        sentAttempts.size() >= 3 && sentAttempts.size() <= 4,
        sentAttempts.size() + " attempts in 800 ms");
    serve(sentAttempts.get(0), "v");
    assertEquals("v", servedText("a"), "reads that joined later delayed the first read");
  }

  @Test
  void sharesBufferOfLargeValueAmongReplies() {
    for (int i = 0; i < 100; i++) {
      read("r" + i, 1000);
    }
    UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false);
    ByteBuf value = allocator.buffer(65_536).writeZero(65_536);
    dispatcher.responseReceived(sentAttempts.get(0), valueReply(sentAttempts.get(0), value));
    value.release();
    List<ByteBuf> encodedReplies = new ArrayList<>();
    replies.forEach((id, reply) -> encodedReplies.add(MetaReplies.encode(allocator, id, reply)));
    long usedBytes = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    assertTrue(usedBytes < 65_536 + 100 * 64, usedBytes + " bytes");
    for (ByteBuf encoded : encodedReplies) {
      assertTrue(encoded.readableBytes() > 65_536);
      encoded.release();
    }
    assertEquals(0, allocator.metric().usedHeapMemory());
  }

  @Test
  void doesNotRetryWhenAttemptWouldExpireInSameTick() throws Exception {
    start(3);
    submit("w", "once", 1000, () -> {});
    Attempt attempt = sentAttempts.get(0);
    // An attempt must end 2 ms before its request.
    engine.advanceMillis(997);
    engine.ticker.advance(600, TimeUnit.MICROSECONDS);
    dispatcher.attemptEnded(attempt, Outcome.Result.CONNECT_FAILED);
    assertEquals(1, sentAttempts.size());
  }

  @Test
  void retriesOnOtherServerWhenFirstIsDraining() throws Exception {
    start(2);
    read("a", 2000);
    Attempt firstAttempt = sentAttempts.get(0);
    long otherServerId = firstAttempt.server() == 7 ? 8 : 7;
    dispatcher.onMembershipUpdate(
        new MembershipUpdate(
            MembershipUpdate.Kind.DELTA,
            2,
            List.of(
                new ServerEntry(
                    firstAttempt.server(), "a", "m", 0, ServerEntry.State.DRAINING, 1, 0))));
    read("b", 2000);
    dispatcher.attemptEnded(firstAttempt, Outcome.Result.RESET);
    assertEquals(otherServerId, sentAttempts.get(1).server());
    serve(sentAttempts.get(1), "v");
    assertEquals("v", servedText("a"));
    assertEquals("v", servedText("b"));
  }
}
