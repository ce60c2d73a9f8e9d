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

/** Runs a change feed server and its clients over loopback. */
@Timeout(30)
class ChangeFeedClientTest {
  private static final InetSocketAddress ANY_PORT =
      new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

  private final ScheduledExecutorService memberThread =
      Executors.newSingleThreadScheduledExecutor();
  private final MultiThreadIoEventLoopGroup loops =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = loops.next();
  private final List<AutoCloseable> closeables = new ArrayList<>();
  private final LinkedBlockingQueue<String> serverLog = new LinkedBlockingQueue<>();
  private final ReplicatedState state = new ReplicatedState();

  /** The bytes to send as the member's snapshot, null for its encoded state. */
  private byte[] snapshotOverride;

  private final MemberExecutor executor =
      new MemberExecutor() {
        @Override
        public void execute(Runnable task) {
          schedule(0, task);
        }

        @Override
        public void schedule(long delayNanos, Runnable task) {
          if (!memberThread.isShutdown()) {
            memberThread.schedule(task, delayNanos, TimeUnit.NANOSECONDS);
          }
        }

        @Override
        public long nanoTime() {
          return System.nanoTime();
        }
      };

  @AfterEach
  void closeAll() throws Exception {
    for (AutoCloseable closeable : closeables) {
      closeable.close();
    }
    memberThread.shutdownNow();
    loops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
  }

  private ChangeFeedServer startServer() throws Exception {
    ChangeFeedServer server =
        new ChangeFeedServer("birds", ANY_PORT, executor, this::snapshot, serverLog::add);
    closeables.add(server);
    memberThread.submit(() -> server.setLeaderKnown(true)).get();
    return server;
  }

  private PublisherMessage.Snapshot snapshot() {
    return new PublisherMessage.Snapshot(
        state.index(),
        snapshotOverride == null
            ? ReplicatedStateCodec.encodeSnapshot(state.snapshot())
            : snapshotOverride);
  }

  /** Applies an entry at the member, on the member's thread. */
  private void applyEntry(ChangeFeedServer server, long index, StateCommand command)
      throws Exception {
    Proposal proposal = new Proposal("id" + index, 1, command);
    byte[] body = ReplicatedStateCodec.encodeProposal(proposal);
    memberThread
        .submit(
            () -> {
              state.apply(index, proposal);
              server.entryApplied(index, body);
            })
        .get();
  }

  /**
   * Starts a client, and returns the queue of its notifications. A notification of an entry
   * consists of its index and the wire name of its outcome; HELD is the wire name of COMMITTED. A
   * notification of a snapshot consists of its index and the excluded servers.
   */
  private LinkedBlockingQueue<String> subscribe(String group, ChangeFeedServer server) {
    LinkedBlockingQueue<String> notifications = new LinkedBlockingQueue<>();
    ChangeFeedClient.Listener listener =
        new ChangeFeedClient.Listener() {
          @Override
          public void entryApplied(long index, Proposal proposal, CommandResult result) {
            notifications.add(index + " " + result.outcome().wireName());
          }

          @Override
          public void snapshotInstalled(ReplicatedState.Snapshot snapshot) {
            notifications.add(
                "snapshot at " + snapshot.index() + " excludes " + snapshot.excludedServers());
          }

          @Override
          public void contactChanged(boolean isInContact) {
            notifications.add(isInContact ? "in contact" : "out of contact");
          }

          @Override
          public void diagnostic(String line) {
            notifications.add(line);
          }
        };
    closeables.add(new ChangeFeedClient(loop, group, "n1", List.of(server.address()), 1, listener));
    return notifications;
  }

  private static String nextNotification(LinkedBlockingQueue<String> notifications)
      throws InterruptedException {
    String line = notifications.poll(20, TimeUnit.SECONDS);
    assertNotNull(line, "no notification within 20 s");
    return line;
  }

  @Test
  void appliesEntriesInOrderIncludingUnknownCommands() throws Exception {
    ChangeFeedServer server = startServer();
    applyEntry(server, 3, new StateCommand.SetExclusion("s-1", true));
    LinkedBlockingQueue<String> notifications = subscribe("birds", server);
    assertEquals("3 HELD", nextNotification(notifications));
    assertEquals("in contact", nextNotification(notifications));
    applyEntry(server, 5, new StateCommand.UnknownCommand(77));
    applyEntry(server, 6, new StateCommand.SetExclusion("s-2", true));
    assertEquals("5 NOT_KNOWN", nextNotification(notifications));
    assertEquals("6 HELD", nextNotification(notifications));
  }

  @Test
  void rejectsSubscriberOfAnotherGroup() throws Exception {
    ChangeFeedServer server = startServer();
    applyEntry(server, 3, new StateCommand.SetExclusion("s-1", true));
    LinkedBlockingQueue<String> notifications = subscribe("fish", server);
    assertTrue(
        nextNotification(notifications).endsWith("it follows group 'fish', and this is 'birds'"));
    assertTrue(
        nextNotification(notifications).endsWith("it follows group 'fish', and this is 'birds'"));
  }

  @Test
  void sendsSnapshotToSubscriberThatLacksEntries() throws Exception {
    ChangeFeedServer server = startServer();
    state.apply(9, new Proposal("id9", 1, new StateCommand.SetExclusion("s-9", true)));
    memberThread.submit(() -> server.snapshotInstalled(9)).get();
    assertEquals("snapshot at 9 excludes [s-9]", nextNotification(subscribe("birds", server)));
  }

  @Test
  void subscribesAgainAfterUndecodableSnapshot() throws Exception {
    ChangeFeedServer server = startServer();
    state.apply(9, new Proposal("id9", 1, new StateCommand.SetExclusion("s-9", true)));
    snapshotOverride = new byte[] {1, 2, 3};
    memberThread.submit(() -> server.snapshotInstalled(9)).get();
    LinkedBlockingQueue<String> notifications = subscribe("birds", server);
    assertTrue(
        nextNotification(notifications).startsWith("cannot decode the snapshot at index 9:"));
    snapshotOverride = null;
    String line = nextNotification(notifications);
    while (line.startsWith("cannot decode the snapshot at index 9:")) {
      line = nextNotification(notifications);
    }
    assertEquals("snapshot at 9 excludes [s-9]", line);
  }

  @Test
  void closesConnectionThatSendsHttp() throws Exception {
    ChangeFeedServer server = startServer();
    LinkedBlockingQueue<String> notifications = subscribe("birds", server);
    assertEquals("in contact", nextNotification(notifications));
    try (Socket httpClient = new Socket()) {
      httpClient.connect(server.address());
      httpClient.setSoTimeout(20_000);
      httpClient
          .getOutputStream()
          .write("GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(-1, readOrEndOfStream(httpClient));
    }
    assertTrue(nextNotification(serverLog).contains("wrong magic number, expected 0x5350"));
    applyEntry(server, 3, new StateCommand.SetExclusion("s-1", true));
    assertEquals("3 HELD", nextNotification(notifications));
  }

  private static int readOrEndOfStream(Socket socket) {
    try {
      return socket.getInputStream().read();
    } catch (IOException e) {
      return -1;
    }
  }

  @Test
  void rejectsSubscribersUntilLeaderIsKnown() throws Exception {
    ChangeFeedServer server =
        new ChangeFeedServer("birds", ANY_PORT, executor, this::snapshot, serverLog::add);
    closeables.add(server);
    LinkedBlockingQueue<String> notifications = subscribe("birds", server);
    assertTrue(
        nextNotification(notifications).endsWith("this member knows nobody who leads its group"));
    memberThread.submit(() -> server.setLeaderKnown(true)).get();
    String line = nextNotification(notifications);
    while (line.endsWith("this member knows nobody who leads its group")) {
      line = nextNotification(notifications);
    }
    assertEquals("in contact", line);
  }
}
