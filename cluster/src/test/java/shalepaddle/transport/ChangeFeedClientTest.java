package shalepaddle.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import shalepaddle.changefeed.PublisherMessage;
import shalepaddle.encoding.ReplicatedStateCodec;
import shalepaddle.raft.MemberExecutor;
import shalepaddle.replicatedstate.CommandResult;
import shalepaddle.replicatedstate.Proposal;
import shalepaddle.replicatedstate.ReplicatedState;
import shalepaddle.replicatedstate.StateCommand;

/** A port of the feed and those who follow it, over loopback. */
@Timeout(30)
class ChangeFeedClientTest {
  private static final InetSocketAddress ANY =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor();
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = loops.next();
  private final List<AutoCloseable> open = new ArrayList<>();
  private final LinkedBlockingQueue<String> portLines = new LinkedBlockingQueue<>();
  private final ReplicatedState state = new ReplicatedState();

  /** What the member's snapshot has in it, null for its state. */
  private byte[] image;

  private final MemberExecutor turns =
      new MemberExecutor() {
        @Override
        public void execute(Runnable task) {
          schedule(0, task);
        }

        @Override
        public void schedule(long nanos, Runnable task) {
          if (!thread.isShutdown()) {
            thread.schedule(task, nanos, TimeUnit.NANOSECONDS);
          }
        }

        @Override
        public long nanoTime() {
          return System.nanoTime();
        }
      };

  @AfterEach
  void end() throws Exception {
    for (AutoCloseable one : open) {
      one.close();
    }
    thread.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ChangeFeedServer port() throws Exception {
    ChangeFeedServer port =
        new ChangeFeedServer("birds", ANY, turns, this::snapshot, portLines::add);
    open.add(port);
    thread.submit(() -> port.setLeaderKnown(true)).get();
    return port;
  }

  private PublisherMessage.Snapshot snapshot() {
    return new PublisherMessage.Snapshot(
        state.index(),
        image == null ? ReplicatedStateCodec.encodeSnapshot(state.snapshot()) : image);
  }

  /** The member applies an entry. */
  private void applies(ChangeFeedServer port, long index, StateCommand entry) throws Exception {
    Proposal proposal = new Proposal("id" + index, 1, entry);
    byte[] body = ReplicatedStateCodec.encodeProposal(proposal);
    thread
        .submit(
            () -> {
              state.apply(index, proposal);
              port.entryApplied(index, body);
            })
        .get();
  }

  /** What a follower tells, in order. */
  private LinkedBlockingQueue<String> follow(String group, ChangeFeedServer port) {
    LinkedBlockingQueue<String> told = new LinkedBlockingQueue<>();
    ChangeFeedClient.Listener listener =
        new ChangeFeedClient.Listener() {
          @Override
          public void entryApplied(long index, Proposal proposal, CommandResult answer) {
            told.add(index + " " + answer.outcome().wireName());
          }

          @Override
          public void snapshotInstalled(ReplicatedState.Snapshot read) {
            told.add("restored to " + read.index() + " " + read.excludedServers());
          }

          @Override
          public void contactChanged(boolean in) {
            told.add(in ? "in contact" : "out of contact");
          }

          @Override
          public void diagnostic(String text) {
            told.add(text);
          }
        };
    open.add(new ChangeFeedClient(loop, group, "n1", List.of(port.address()), 1, listener));
    return told;
  }

  private static String next(LinkedBlockingQueue<String> told) throws InterruptedException {
    String line = told.poll(20, TimeUnit.SECONDS);
    assertNotNull(line, "nothing more is told");
    return line;
  }

  @Test
  void entriesComeInOrderAlsoOnesOfAKindThatIsNotKnown() throws Exception {
    ChangeFeedServer port = port();
    applies(port, 3, new StateCommand.SetExclusion("s-1", true));
    LinkedBlockingQueue<String> told = follow("birds", port);
    assertEquals("3 HELD", next(told));
    assertEquals("in contact", next(told));
    applies(port, 5, new StateCommand.Unknown(77));
    applies(port, 6, new StateCommand.SetExclusion("s-2", true));
    assertEquals("5 NOT_KNOWN", next(told));
    assertEquals("6 HELD", next(told));
  }

  @Test
  void anotherGroupIsTurnedDownInWordsAndChangesNothing() throws Exception {
    ChangeFeedServer port = port();
    applies(port, 3, new StateCommand.SetExclusion("s-1", true));
    LinkedBlockingQueue<String> told = follow("fish", port);
    assertTrue(next(told).endsWith("it follows group 'fish', and this is 'birds'"));
    assertTrue(next(told).endsWith("it follows group 'fish', and this is 'birds'"));
  }

  @Test
  void whoComesAfterASnapshotIsGivenTheState() throws Exception {
    ChangeFeedServer port = port();
    state.apply(9, new Proposal("id9", 1, new StateCommand.SetExclusion("s-9", true)));
    thread.submit(() -> port.snapshotInstalled(9)).get();
    assertEquals("restored to 9 [s-9]", next(follow("birds", port)));
  }

  @Test
  void aStateThatCanNotBeReadIsNotTaken() throws Exception {
    ChangeFeedServer port = port();
    state.apply(9, new Proposal("id9", 1, new StateCommand.SetExclusion("s-9", true)));
    image = new byte[] {1, 2, 3};
    thread.submit(() -> port.snapshotInstalled(9)).get();
    LinkedBlockingQueue<String> told = follow("birds", port);
    assertTrue(next(told).startsWith("the state up to 9 can't be read"));
    image = null;
    String line = next(told);
    while (line.startsWith("the state up to 9")) {
      line = next(told);
    }
    assertEquals("restored to 9 [s-9]", line);
  }

  @Test
  void bytesThatAreNoFollowersAreClosedAndHarmNobody() throws Exception {
    ChangeFeedServer port = port();
    LinkedBlockingQueue<String> told = follow("birds", port);
    assertEquals("in contact", next(told));
    try (Socket stranger = new Socket()) {
      stranger.connect(port.address());
      stranger.setSoTimeout(20_000);
      stranger
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(-1, readOrEnd(stranger));
    }
    assertTrue(next(portLines).contains("these are no members' bytes"));
    applies(port, 3, new StateCommand.SetExclusion("s-1", true));
    assertEquals("3 HELD", next(told));
  }

  private static int readOrEnd(Socket socket) {
    try {
      return socket.getInputStream().read();
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void aMemberThatKnowsNobodyThatLeadsServesNobody() throws Exception {
    ChangeFeedServer port =
        new ChangeFeedServer("birds", ANY, turns, this::snapshot, portLines::add);
    open.add(port);
    LinkedBlockingQueue<String> told = follow("birds", port);
    assertTrue(next(told).endsWith("this member knows nobody who leads its group"));
    thread.submit(() -> port.setLeaderKnown(true)).get();
    String line = next(told);
    while (line.endsWith("this member knows nobody who leads its group")) {
      line = next(told);
    }
    assertEquals("in contact", line);
  }
}
