package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import shalepaddle.engine.Call;
import shalepaddle.engine.Engine;
import shalepaddle.engine.Payload;
import shalepaddle.engine.Reply;
import shalepaddle.engine.ReplySink;
import shalepaddle.model.Request;
import shalepaddle.testkit.ScriptedPeer;

/** Submitting calls to an engine from other threads, cancelling them, and closing the engine. */
class EngineTest {
  private NodeFixture rig;
  private Engine engine;

  @BeforeEach
  void start() throws Exception {
    rig = new NodeFixture();
    engine = rig.node.engine();
  }

  @AfterEach
  void stop() throws Exception {
    rig.close();
  }

  /** A write that collects its replies and counts releases of its value. */
  private static final class WriteCall implements Payload, ReplySink {
    final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    final AtomicInteger releaseCount = new AtomicInteger();
    private final ByteBuf bytes;
    private final String id;

    WriteCall(String id) {
      this.id = id;
      this.bytes = Unpooled.copiedBuffer("value", StandardCharsets.US_ASCII);
    }

    WriteCall(String id, int valueBytes) {
      this.id = id;
      this.bytes = Unpooled.buffer(valueBytes).writeZero(valueBytes);
    }

    Call toCall() {
      return new Call(new Request(id, "key", "put", null, 2, 0, 0, false, true), this, this);
    }

    @Override
    public ByteBuf value() {
      return bytes;
    }

    @Override
    public void release() {
      releaseCount.incrementAndGet();
      if (bytes.refCnt() > 0) {
        bytes.release();
      }
    }

    @Override
    public void reply(Reply reply) {
      replies.add(reply);
    }

    Reply awaitReply() throws InterruptedException {
      Reply reply = replies.poll(ScriptedPeer.TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(reply != null, "no reply to " + id);
      return reply;
    }
  }

  private ScriptedPeer acceptWrite(String id) throws Exception {
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.readLine().contains("O" + id + " "));
    assertEquals("value", cache.readLine());
    return cache;
  }

  @Test
  void servesCallOfAnotherThread() throws Exception {
    WriteCall write = new WriteCall("w1");
    engine.submit(write.toCall());
    acceptWrite("w1").write("HD Ow1 c9\r\n");
    assertEquals(new Reply.Receipt("9"), write.awaitReply());
    rig.awaitLoopTurns();
    assertEquals(0, write.bytes.refCnt());
  }

  @Test
  void failsCallWhoseIdIsInUseWithoutRunningIt() throws Exception {
    WriteCall write = new WriteCall("w1");
    engine.submit(write.toCall());
    WriteCall secondWrite = new WriteCall("w1");
    engine.submit(secondWrite.toCall());
    assertEquals(new Reply.Failed(false), secondWrite.awaitReply());
    assertEquals(0, secondWrite.bytes.refCnt());
    acceptWrite("w1").write("HD Ow1 c9\r\n");
    assertEquals(new Reply.Receipt("9"), write.awaitReply());
  }

  @Test
  void cancelClosesServerConnectionAndGivesNoReply() throws Exception {
    WriteCall write = new WriteCall("w1");
    Engine.Ticket ticket = engine.submit(write.toCall());
    ScriptedPeer cache = acceptWrite("w1");
    ticket.cancel();
    assertTrue(cache.closedByPeer());
    rig.awaitLoopTurns();
    assertEquals(0, write.bytes.refCnt());
    assertNull(write.replies.poll());
  }

  @Test
  void releasesPayloadWhenCallIsCancelledDuringItsWrite() throws Exception {
    WriteCall write = new WriteCall("w1", 8 << 20);
    Engine.Ticket ticket = engine.submit(write.toCall());
    ScriptedPeer cache = rig.acceptCache();
    // The server reads the line and a part of the value; the rest is still buffered in the node.
    assertTrue(cache.readLine().startsWith("ms key 8388608 Ow1 "));
    cache.readBytes(1000);
    assertTrue(write.bytes.refCnt() > 0);
    ticket.cancel();
    rig.awaitLoopTurns();
    assertEquals(0, write.bytes.refCnt());
    assertNull(write.replies.poll());
    // The connection is closed: a write that was cut short cannot run.
    while (cache.readBytes(1 << 16).length == 1 << 16) {
      // Skips the bytes that the node had written to the socket before.
    }
    assertTrue(cache.closedByPeer());
  }

  @RepeatedTest(20)
  void releasesPayloadWhenCallIsCancelledInTurnOfReply() throws Exception {
    WriteCall write = new WriteCall("w1");
    Engine.Ticket ticket = engine.submit(write.toCall());
    ScriptedPeer cache = acceptWrite("w1");
    rig.stallLoopWhile(
        10,
        () -> {
          cache.write("HD Ow1 c9\r\n");
          ticket.cancel();
          Thread.sleep(5);
        });
    rig.awaitLoopTurns();
    ticket.cancel();
    rig.awaitLoopTurns();
    assertEquals(0, write.bytes.refCnt());
    assertTrue(write.replies.size() <= 1, write.replies.toString());
    // The first call is removed completely: its id may be used again.
    WriteCall laterWrite = new WriteCall("w1");
    engine.submit(laterWrite.toCall());
    assertNull(laterWrite.replies.poll(20, TimeUnit.MILLISECONDS));
  }

  @Test
  void closeFailsCallsThatMayHaveRunAndRejectsOtherCalls() throws Exception {
    // One connection with at most 32 attempts in flight: the other calls wait for it.
    rig.close();
    rig = new NodeFixture(1);
    engine = rig.node.engine();
    WriteCall sentWrite = new WriteCall("w1");
    engine.submit(sentWrite.toCall());
    ScriptedPeer cache = acceptWrite("w1");
    List<WriteCall> otherWrites = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      WriteCall otherWrite = new WriteCall("o" + i);
      otherWrites.add(otherWrite);
      engine.submit(otherWrite.toCall());
    }
    rig.awaitLoopTurns();
    engine.close();
    assertEquals(new Reply.Failed(true), sentWrite.awaitReply());
    int rejectedCount = 0;
    for (WriteCall otherWrite : otherWrites) {
      rejectedCount += otherWrite.awaitReply() instanceof Reply.Rejected ? 1 : 0;
    }
    int arrivedCount = 0;
    for (String line = cache.readLine(); line != null; line = cache.readLine()) {
      arrivedCount += line.startsWith("ms ") ? 1 : 0;
    }
    // Exactly the calls that did not reach the server are rejected; the others may have run.
    assertEquals(otherWrites.size() - arrivedCount, rejectedCount);
    WriteCall lateWrite = new WriteCall("late");
    engine.submit(lateWrite.toCall());
    assertEquals(new Reply.Rejected(0), lateWrite.awaitReply());
    engine.close();
    rig.awaitLoopTurns();
    for (WriteCall write : otherWrites) {
      assertEquals(0, write.bytes.refCnt());
      assertTrue(write.replies.isEmpty());
    }
  }

  @Test
  void rejectsCallsAtOnceWhenTooManyWait() throws Exception {
    List<WriteCall> writes = new ArrayList<>();
    rig.stallLoopWhile(
        () -> {
          for (int i = 0; i < 5000; i++) {
            WriteCall write = new WriteCall("w" + i);
            writes.add(write);
            engine.submit(write.toCall());
          }
          for (WriteCall write : writes.subList(4096, 5000)) {
            assertEquals(new Reply.Rejected(0), write.replies.poll());
            assertEquals(0, write.bytes.refCnt());
          }
          assertTrue(writes.subList(0, 4096).stream().allMatch(w -> w.replies.isEmpty()));
        });
    engine.close();
    for (WriteCall write : writes.subList(0, 4096)) {
      write.awaitReply();
    }
  }

  @RepeatedTest(10)
  void answersEachCallOnceWhenSubmitsRaceWithClose() throws Exception {
    int threadCount = 4;
    int callsPerThread = 200;
    List<WriteCall> writes = new ArrayList<>();
    for (int i = 0; i < threadCount * callsPerThread; i++) {
      writes.add(new WriteCall("w" + i));
    }
    CountDownLatch startSignal = new CountDownLatch(1);
    List<Thread> submitters = new ArrayList<>();
    for (int threadIndex = 0; threadIndex < threadCount; threadIndex++) {
      List<WriteCall> writesOfThread =
          writes.subList(threadIndex * callsPerThread, (threadIndex + 1) * callsPerThread);
      Thread thread =
          new Thread(
              () -> {
                try {
                  startSignal.await();
                } catch (InterruptedException e) {
                  return;
                }
                writesOfThread.forEach(write -> engine.submit(write.toCall()));
              });
      thread.start();
      submitters.add(thread);
    }
    startSignal.countDown();
    Thread.sleep(1);
    rig.node.close();
    for (Thread thread : submitters) {
      thread.join();
    }
    for (WriteCall write : writes) {
      Reply reply = write.awaitReply();
      if (reply instanceof Reply.Failed failed) {
        assertTrue(failed.mayHaveRun());
      } else {
        assertInstanceOf(Reply.Rejected.class, reply);
      }
      assertEquals(0, write.bytes.refCnt());
    }
    for (WriteCall write : writes) {
      assertTrue(write.replies.isEmpty(), "a call was answered twice");
    }
  }
}
