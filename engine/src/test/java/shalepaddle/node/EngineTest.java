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

/** The engine's edge for other threads, and its end. */
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

  /** A write whose replies are kept, and whose value tells when it has been let go. */
  private static final class Write implements Payload, ReplySink {
    final BlockingQueue<Reply> replies = new LinkedBlockingQueue<>();
    final AtomicInteger released = new AtomicInteger();
    private final ByteBuf bytes;
    private final String id;

    Write(String id) {
      this.id = id;
      this.bytes = Unpooled.copiedBuffer("value", StandardCharsets.US_ASCII);
    }

    Write(String id, int length) {
      this.id = id;
      this.bytes = Unpooled.buffer(length).writeZero(length);
    }

    Call call() {
      return new Call(new Request(id, "key", "put", null, 2, 0, 0, false, true), this, this);
    }

    @Override
    public ByteBuf value() {
      return bytes;
    }

    @Override
    public void release() {
      released.incrementAndGet();
      if (bytes.refCnt() > 0) {
        bytes.release();
      }
    }

    @Override
    public void reply(Reply reply) {
      replies.add(reply);
    }

    Reply next() throws InterruptedException {
      Reply reply = replies.poll(ScriptedPeer.PATIENCE_MILLIS, TimeUnit.MILLISECONDS);
      assertTrue(reply != null, "no reply to " + id);
      return reply;
    }
  }

  private ScriptedPeer acceptWrite(String id) throws Exception {
    ScriptedPeer cache = rig.acceptCache();
    assertTrue(cache.line().contains("O" + id + " "));
    assertEquals("value", cache.line());
    return cache;
  }

  @Test
  void aCallFromAnyThreadIsServed() throws Exception {
    Write write = new Write("w1");
    engine.submit(write.call());
    acceptWrite("w1").write("HD Ow1 c9\r\n");
    assertEquals(new Reply.Receipt("9"), write.next());
    rig.settled();
    assertEquals(0, write.bytes.refCnt());
  }

  @Test
  void aCallWhoseIdIsInUseHasFailedAndNotRun() throws Exception {
    Write write = new Write("w1");
    engine.submit(write.call());
    Write second = new Write("w1");
    engine.submit(second.call());
    assertEquals(new Reply.Failed(false), second.next());
    assertEquals(0, second.bytes.refCnt());
    acceptWrite("w1").write("HD Ow1 c9\r\n");
    assertEquals(new Reply.Receipt("9"), write.next());
  }

  @Test
  void aCancelledCallIsWithdrawnFromItsServerAndNeverAnswered() throws Exception {
    Write write = new Write("w1");
    Engine.Ticket ticket = engine.submit(write.call());
    ScriptedPeer cache = acceptWrite("w1");
    ticket.cancel();
    assertTrue(cache.ended());
    rig.settled();
    assertEquals(0, write.bytes.refCnt());
    assertNull(write.replies.poll());
  }

  @Test
  void aFrontThatGoesWhileItsPayloadIsBeingWrittenLeavesNothingBehind() throws Exception {
    Write write = new Write("w1", 8 << 20);
    Engine.Ticket ticket = engine.submit(write.call());
    ScriptedPeer cache = rig.acceptCache();
    // It reads the line and a part of the value: the rest waits in the node.
    assertTrue(cache.line().startsWith("ms key 8388608 Ow1 "));
    cache.bytes(1000);
    assertTrue(write.bytes.refCnt() > 0);
    ticket.cancel();
    rig.settled();
    assertEquals(0, write.bytes.refCnt());
    assertNull(write.replies.poll());
    // Its connection is of no more use, and is ended: what was cut off can not run.
    while (cache.bytes(1 << 16).length == 1 << 16) {
      // What the kernel had taken.
    }
    assertTrue(cache.ended());
  }

  @RepeatedTest(20)
  void aCancelInTheTurnOfItsAnswerLeavesNothingBehind() throws Exception {
    Write write = new Write("w1");
    Engine.Ticket ticket = engine.submit(write.call());
    ScriptedPeer cache = acceptWrite("w1");
    rig.pausedWhile(
        10,
        () -> {
          cache.write("HD Ow1 c9\r\n");
          ticket.cancel();
          Thread.sleep(5);
        });
    rig.settled();
    ticket.cancel();
    rig.settled();
    assertEquals(0, write.bytes.refCnt());
    assertTrue(write.replies.size() <= 1, write.replies.toString());
    // Nothing of it is left: its id may be used again.
    Write again = new Write("w1");
    engine.submit(again.call());
    assertNull(again.replies.poll(20, TimeUnit.MILLISECONDS));
  }

  @Test
  void aCloseAnswersWhatIsOpenByWhetherItMayHaveRun() throws Exception {
    // One connection, on which at most 32 are under way: the others wait for it.
    rig.close();
    rig = new NodeFixture(1);
    engine = rig.node.engine();
    Write sent = new Write("w1");
    engine.submit(sent.call());
    ScriptedPeer cache = acceptWrite("w1");
    List<Write> others = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      Write other = new Write("o" + i);
      others.add(other);
      engine.submit(other.call());
    }
    rig.settled();
    engine.close();
    assertEquals(new Reply.Failed(true), sent.next());
    int refused = 0;
    for (Write other : others) {
      refused += other.next() instanceof Reply.Rejected ? 1 : 0;
    }
    int arrived = 0;
    for (String line = cache.line(); line != null; line = cache.line()) {
      arrived += line.startsWith("ms ") ? 1 : 0;
    }
    // What was refused never came to the server; all that came is said to have perhaps run.
    assertEquals(others.size() - arrived, refused);
    Write late = new Write("late");
    engine.submit(late.call());
    assertEquals(new Reply.Rejected(0), late.next());
    engine.close();
    rig.settled();
    for (Write write : others) {
      assertEquals(0, write.bytes.refCnt());
      assertTrue(write.replies.isEmpty());
    }
  }

  @Test
  void callsPastTheBoundAreRefusedAtOnce() throws Exception {
    List<Write> writes = new ArrayList<>();
    rig.pausedWhile(
        () -> {
          for (int i = 0; i < 5000; i++) {
            Write write = new Write("w" + i);
            writes.add(write);
            engine.submit(write.call());
          }
          for (Write write : writes.subList(4096, 5000)) {
            assertEquals(new Reply.Rejected(0), write.replies.poll());
            assertEquals(0, write.bytes.refCnt());
          }
          assertTrue(writes.subList(0, 4096).stream().allMatch(w -> w.replies.isEmpty()));
        });
    engine.close();
    for (Write write : writes.subList(0, 4096)) {
      write.next();
    }
  }

  @RepeatedTest(10)
  void everyCallThatRacesTheCloseGetsOneAnswer() throws Exception {
    int threads = 4;
    int each = 200;
    List<Write> writes = new ArrayList<>();
    for (int i = 0; i < threads * each; i++) {
      writes.add(new Write("w" + i));
    }
    CountDownLatch go = new CountDownLatch(1);
    List<Thread> submitters = new ArrayList<>();
    for (int t = 0; t < threads; t++) {
      List<Write> own = writes.subList(t * each, (t + 1) * each);
      Thread thread =
          new Thread(
              () -> {
                try {
                  go.await();
                } catch (InterruptedException e) {
                  return;
                }
                own.forEach(write -> engine.submit(write.call()));
              });
      thread.start();
      submitters.add(thread);
    }
    go.countDown();
    Thread.sleep(1);
    rig.node.close();
    for (Thread thread : submitters) {
      thread.join();
    }
    for (Write write : writes) {
      Reply reply = write.next();
      if (reply instanceof Reply.Failed failed) {
        assertTrue(failed.mayHaveRun());
      } else {
        assertInstanceOf(Reply.Rejected.class, reply);
      }
      assertEquals(0, write.bytes.refCnt());
    }
    for (Write write : writes) {
      assertTrue(write.replies.isEmpty(), "answered twice");
    }
  }
}
