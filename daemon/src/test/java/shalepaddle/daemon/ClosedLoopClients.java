package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that ask, rest for 20 ms to 4 s and ask again on the same connection, each on a thread of
 * its own. A connection that ends while they rest is replaced; one that ends after a request was
 * written whole to it has lost that request, unless the two crossed on the way.
 */
final class ClosedLoopClients implements Closeable {
  /** By the protocol a request that crosses the end of its connection is sent once more. */
  private static final long CROSSED_NANOS = 2_000_000;

  private static final int DEADLINE_MILLIS = 2000;

  /** Longer than any request's time and any pause. */
  private static final int PATIENCE_MILLIS = 15_000;

  private final InetSocketAddress address;
  private final AtomicInteger left;
  private final CountDownLatch running;
  private final List<Thread> threads = new ArrayList<>();
  private final Queue<String> lost = new ConcurrentLinkedQueue<>();
  private final Queue<String> wrong = new ConcurrentLinkedQueue<>();
  private final Queue<Long> latenessMillis = new ConcurrentLinkedQueue<>();
  private final Queue<String> ids = new ConcurrentLinkedQueue<>();
  private final AtomicInteger crossed = new AtomicInteger();
  private final AtomicInteger answered = new AtomicInteger();
  private final AtomicInteger refused = new AtomicInteger();
  private final AtomicInteger failedWrites = new AtomicInteger();
  private volatile boolean leave;

  /** So many clients that send so many requests together. */
  ClosedLoopClients(InetSocketAddress address, int clients, int requests) {
    this.address = address;
    left = new AtomicInteger(requests);
    running = new CountDownLatch(clients);
    for (int i = 0; i < clients; i++) {
      Caller caller = new Caller(i);
      Thread thread = new Thread(caller::run, "caller " + i);
      thread.setDaemon(true);
      threads.add(thread);
      thread.start();
    }
  }

  /** Waits for so long; whether all requests have ended. */
  boolean await(long millis) throws InterruptedException {
    return running.await(millis, TimeUnit.MILLISECONDS);
  }

  /** A client that finds nobody listening, or its connection ended, leaves from now on. */
  void leaveWhenRefused() {
    leave = true;
  }

  /** Clients ask for nothing more from now on. */
  void finish() {
    left.set(0);
  }

  /** Requests that crossed the end of their connection, and were asked once more. */
  int crossed() {
    return crossed.get();
  }

  /** As {@link #assertAllAnswered}, where processes were killed with what they had taken. */
  void assertNoneLeftWaiting(Fleet fleet) {
    assertEquals(0, running.getCount(), "clients still wait");
    assertEquals(List.of(), List.copyOf(wrong));
    for (String id : ids) {
      assertTrue(fleet.executions(id) <= 1, id + " was carried out twice");
    }
  }

  int refused() {
    return refused.get();
  }

  int answered() {
    return answered.get();
  }

  int failedWrites() {
    return failedWrites.get();
  }

  void assertAllAnswered(long pauseMillis, Fleet fleet) {
    assertEquals(0, running.getCount(), "clients still wait");
    assertEquals(List.of(), List.copyOf(lost), "lost of " + answered + " answered");
    assertEquals(List.of(), List.copyOf(wrong));
    assertTrue(answered.get() > 50, answered + " answered");
    // 50 ms are the rule's own slack; the rest is for this machine.
    long latest = latenessMillis.stream().mapToLong(Long::longValue).max().orElse(0);
    assertTrue(latest <= pauseMillis + 250, "late by " + latest + " ms");
    for (String id : ids) {
      assertTrue(fleet.executions(id) <= 1, id + " was carried out twice");
    }
    assertTrue(crossed.get() <= 5, crossed + " requests crossed the end of their connection");
  }

  /** One client. */
  private final class Caller {
    private final int number;
    private final SplittableRandom random;
    private Socket socket;
    private InputStream in;

    Caller(int number) {
      this.number = number;
      this.random = new SplittableRandom(number);
    }

    void run() {
      try {
        for (int i = 0; left.getAndDecrement() > 0; i++) {
          if (!ask("c" + number + "r" + i) || !rest(20 + random.nextInt(3980) / (1 + i % 8))) {
            return;
          }
        }
      } catch (IOException | InterruptedException e) {
        if (!leave) {
          lost.add("client " + number + ": " + e);
        }
      } finally {
        close();
        running.countDown();
      }
    }

    private void close() {
      try {
        if (socket != null) {
          socket.close();
        }
      } catch (IOException e) {
        // It is of no more use.
      }
      socket = null;
    }

    /** Waits on the connection; false if there is nothing more to ask for. */
    private boolean rest(int millis) throws IOException, InterruptedException {
      socket.setSoTimeout(millis);
      try {
        int more = in.read();
        if (more >= 0) {
          wrong.add("more than one answer at client " + number);
        }
      } catch (SocketTimeoutException e) {
        return true;
      } catch (IOException e) {
        wrong.add("a connection without a request was reset");
      }
      close();
      return !leave;
    }

    /** False if the node takes no more. */
    private boolean ask(String id) throws IOException, InterruptedException {
      boolean write = random.nextInt(3) == 0;
      String key = "key" + random.nextInt(200);
      String flags = "O" + id + " Pc=" + (write ? "put" : "read") + ",d=" + DEADLINE_MILLIS;
      String command =
          write ? "ms " + key + " 5 " + flags + "\r\nvalue\r\n" : "mg " + key + " v " + flags;
      if (write) {
        ids.add(id);
      } else {
        command += "\r\n";
      }
      boolean fresh = socket == null;
      if (fresh && !connect()) {
        return false;
      }
      if (exchange(id, command, write, fresh)) {
        return true;
      }
      crossed.incrementAndGet();
      close();
      if (!connect()) {
        return false;
      }
      // Once more, as the protocol has it.
      if (!exchange(id, command, write, true)) {
        lost.add(id + " twice");
      }
      return true;
    }

    private boolean connect() throws IOException {
      socket = new Socket();
      try {
        socket.connect(address, PATIENCE_MILLIS);
      } catch (IOException e) {
        if (leave) {
          return false;
        }
        throw e;
      }
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
      return true;
    }

    /** False if the request crossed the end of its connection. */
    private boolean exchange(String id, String command, boolean write, boolean fresh)
        throws IOException {
      socket.setSoTimeout(PATIENCE_MILLIS);
      long asked = System.nanoTime();
      String line;
      try {
        socket.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
        line = Fleet.line(in);
      } catch (IOException e) {
        line = null;
      }
      long took = System.nanoTime() - asked;
      if (line == null) {
        if (!fresh && took < CROSSED_NANOS) {
          return false;
        }
        lost.add(id + (fresh ? " on a new connection" : "") + " after " + took / 1000 + " us");
        close();
        return connect();
      }
      if (line.startsWith("VA 5 O" + id) && !write) {
        if (!"value".equals(Fleet.line(in))) {
          wrong.add(id + ": not its value");
        }
      } else if (line.equals("SERVER_ERROR failed")) {
        failedWrites.addAndGet(write ? 1 : 0);
      } else if (line.startsWith("SERVER_ERROR busy")) {
        refused.incrementAndGet();
      } else if (!(line.startsWith("HD O" + id) && write)) {
        wrong.add(id + ": " + line);
      }
      answered.incrementAndGet();
      latenessMillis.add(took / 1_000_000 - DEADLINE_MILLIS);
      return true;
    }
  }

  @Override
  public void close() {
    leave = true;
    left.set(0);
    for (Thread thread : threads) {
      thread.interrupt();
    }
  }
}
