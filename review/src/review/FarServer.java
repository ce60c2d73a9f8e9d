package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A cache server in the other room: each message takes the same time on its way, in either
 * direction. Commands of a connection are begun as they arrive and answered in their order.
 */
final class FarServer {
  /** What the server does with a command that has arrived. */
  static final class Job {
    final Line command;
    final double arrivedAt = Rec.now();

    /** How long the server works on it. */
    double workSeconds;

    /** The answer. */
    byte[] answer;

    /** Whether the answer comes with the id of another request. */
    boolean hasWrongId;

    /** Seconds after which a second copy of the answer is sent; below 0 for none. */
    double copyAfter = -1;

    Job(Line command) {
      this.command = command;
    }

    String id() {
      return command.flag('O');
    }

    boolean isWrite() {
      return command.word(0).equals("ms");
    }
  }

  /** Decides on a command that has arrived. */
  interface Handler {
    void arrived(FarServer server, Job job);
  }

  /** A command on its way to the server. */
  private record Arrival(Line command, double atSecond) {}

  /** Bytes on their way to the node. */
  private record Message(byte[] bytes, double atSecond, long number)
      implements Comparable<Message> {
    @Override
    public int compareTo(Message other) {
      int byTime = Double.compare(atSecond, other.atSecond);
      return byTime != 0 ? byTime : Long.compare(number, other.number);
    }
  }

  final String id;
  private final ServerSocket listener = new ServerSocket();
  private final double oneWaySeconds;
  private final Handler handler;

  FarServer(String id, double oneWaySeconds, Handler handler) throws IOException {
    this.id = id;
    this.oneWaySeconds = oneWaySeconds;
    this.handler = handler;
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    Sys.daemon(
        "accept-" + id,
        () -> {
          while (true) {
            Socket socket = listener.accept();
            socket.setTcpNoDelay(true);
            new Conn(socket).start();
          }
        });
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** A connection of a node. */
  private final class Conn {
    private final Socket socket;
    private final LinkedBlockingQueue<Arrival> arrivals = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Job> jobs = new LinkedBlockingQueue<>();
    private final PriorityBlockingQueue<Message> messages = new PriorityBlockingQueue<>();
    private final AtomicLong messageCount = new AtomicLong();

    Conn(Socket socket) {
      this.socket = socket;
    }

    void start() {
      Sys.daemon("read-" + id, this::read);
      Sys.daemon("arrive-" + id, this::arrive);
      Sys.daemon("work-" + id, this::work);
      Sys.daemon("send-" + id, this::send);
    }

    private void read() throws IOException {
      try (socket) {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (Line command = Line.read(in); command != null; command = Line.read(in)) {
          if (command.word(0).equals("ms")) {
            command.readValue(in, Integer.parseInt(command.word(2)));
          }
          arrivals.add(new Arrival(command, Rec.now() + oneWaySeconds));
        }
      } catch (IOException e) {
        Rec.line("%s: connection ended: %s", id, e.getMessage());
      }
    }

    private void arrive() throws InterruptedException {
      while (true) {
        Arrival arrival = arrivals.take();
        await(arrival.atSecond);
        Job job = new Job(arrival.command);
        if (arrival.command.word(0).equals("mn")) {
          job.answer = "MN\r\n".getBytes(StandardCharsets.US_ASCII);
        } else {
          handler.arrived(FarServer.this, job);
        }
        jobs.add(job);
      }
    }

    private void work() throws InterruptedException {
      while (true) {
        Job job = jobs.take();
        await(job.arrivedAt + job.workSeconds);
        if (job.hasWrongId) {
          sendWithWrongId(job);
          return;
        }
        add(job.answer, 0);
        // Only an answer with nothing else waiting on the connection is followed by a copy.
        if (job.copyAfter >= 0 && jobs.isEmpty()) {
          Rec.line("%s: second copy of the answer to O%s, %.1f ms later", id, job.id(),
              job.copyAfter * 1e3);
          add(job.answer, job.copyAfter);
        }
      }
    }

    /** Sends the answer with the id of the next request that waits here; then nothing more. */
    private void sendWithWrongId(Job job) {
      Job next = jobs.peek();
      String otherId = next == null ? "0123456789abcdef" : next.id();
      Rec.line("%s: the answer to O%s comes with the id of O%s", id, job.id(), otherId);
      String answer = new String(job.answer, StandardCharsets.US_ASCII);
      add(answer.replaceFirst("O" + job.id(), "O" + otherId).getBytes(StandardCharsets.US_ASCII), 0);
    }

    private void add(byte[] bytes, double later) {
      messages.add(
          new Message(bytes, Rec.now() + oneWaySeconds + later, messageCount.incrementAndGet()));
    }

    private void send() throws Exception {
      while (true) {
        Message first = messages.take();
        if (first.atSecond - Rec.now() > 0.001) {
          messages.add(first);
          Thread.sleep(0, 300_000);
          continue;
        }
        await(first.atSecond);
        socket.getOutputStream().write(first.bytes);
      }
    }

    private void await(double second) throws InterruptedException {
      while (Rec.now() < second) {
        Thread.sleep(0, 200_000);
      }
    }
  }
}
