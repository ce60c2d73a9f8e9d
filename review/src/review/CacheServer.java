package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A cache server by the protocol page: begins a command when its last byte has come, and answers on
 * a connection in the order of the commands. A hang stops all reading and writing, as a stopped
 * process does; the system goes on accepting connections and bytes for it.
 */
final class CacheServer {
  /** Seconds between the last bytes of an answer that is cut off and the reset. */
  private static final double RESET_DELAY = 0.05;

  /** What the server does with a command. */
  static final class Job {
    final Line command;
    final Conn connection;
    final double begunAt = Rec.now();

    /** The position of the command's last byte in the stream of its connection, from 1. */
    long endOffset;

    /** When the answer is ready, in seconds of the record. */
    double readyAt;

    /** The answer; null for none, after which nothing more is answered on the connection. */
    byte[] answer;

    /** How many bytes of the answer are sent before the connection is reset; -1 for no reset. */
    int resetAfter = -1;

    Job(Line command, Conn connection) {
      this.command = command;
      this.connection = connection;
    }

    String id() {
      return command.flag('O');
    }

    boolean isWrite() {
      return command.word(0).equals("ms");
    }
  }

  /** Decides on a command whose last byte has just come. */
  interface Handler {
    void begun(CacheServer server, Job job);
  }

  /** One connection of a node. */
  final class Conn {
    final Socket socket;

    /** Bytes that the server has read, and that it had read when the last command was complete. */
    volatile long readBytes;
    volatile long commandBytes;

    /** See {@link #noteLeftPeer}; -1 before the first call. */
    volatile long leftPeerBytes = -1;
    final BlockingQueue<Job> jobs = new LinkedBlockingQueue<>();

    Conn(Socket socket) {
      this.socket = socket;
    }

    /**
     * Notes how many bytes can have left the peer's program by now: those that the server has read
     * and those that the system holds for either end. All later ones leave it after this call.
     */
    void noteLeftPeer() {
      long held = SystemQueues.heldBytes(socket.getLocalPort(), socket.getPort());
      leftPeerBytes = held < 0 ? Long.MAX_VALUE : readBytes + held;
      Rec.line("%s: of port %d, %d bytes are read and %d are held by the system", id,
          socket.getPort(), readBytes, held);
    }

    /** Resets the connection: the peer gets RST. */
    void reset() {
      try {
        socket.setSoLinger(true, 0);
        socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  final String id;
  final List<Conn> connections = new CopyOnWriteArrayList<>();
  private final ServerSocket listener;
  private final Handler handler;
  private volatile boolean hangs;

  CacheServer(String id, Handler handler, int receiveBufferBytes) throws IOException {
    this.id = id;
    this.handler = handler;
    listener = new ServerSocket();
    if (receiveBufferBytes > 0) {
      listener.setReceiveBufferSize(receiveBufferBytes);
    }
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    Sys.daemon("accept-" + id, this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Stops all reading and writing until {@link #resume}. */
  void hang() {
    Rec.line("%s hangs", id);
    hangs = true;
  }

  void resume() {
    Rec.line("%s goes on", id);
    hangs = false;
  }

  /** Calls {@link Conn#noteLeftPeer} for each open connection. */
  void noteLeftPeer() {
    connections.forEach(Conn::noteLeftPeer);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Conn connection = new Conn(socket);
        connections.add(connection);
        Sys.daemon("read-" + id, () -> read(connection));
        Sys.daemon("write-" + id, () -> write(connection));
      }
    } catch (IOException e) {
      // The driver ends.
    }
  }

  private void awaitNoHang() throws InterruptedException {
    while (hangs) {
      Thread.sleep(2);
    }
  }

  /** Reads in pieces, none of them while the server hangs. */
  private InputStream input(Conn connection) throws IOException {
    InputStream in = connection.socket.getInputStream();
    return new BufferedInputStream(
        new InputStream() {
          @Override
          public int read() throws IOException {
            byte[] one = new byte[1];
            return read(one, 0, 1) < 0 ? -1 : one[0] & 0xFF;
          }

          @Override
          public int read(byte[] bytes, int offset, int length) throws IOException {
            try {
              awaitNoHang();
              int count = in.read(bytes, offset, Math.min(length, 8192));
              connection.readBytes += Math.max(0, count);
              awaitNoHang();
              return count;
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
          }
        },
        8192);
  }

  private void read(Conn connection) {
    try {
      InputStream in = input(connection);
      for (Line command = Line.read(in); command != null; command = Line.read(in)) {
        if (command.word(0).equals("ms")) {
          if (Integer.parseInt(command.word(2)) > 1000) {
            Rec.line("%s gets the head of the write O%s", id, command.flag('O'));
          }
          command.readValue(in, Integer.parseInt(command.word(2)));
        }
        connection.commandBytes += command.byteCount();
        Job job = new Job(command, connection);
        job.endOffset = connection.commandBytes;
        job.readyAt = job.begunAt;
        if (command.word(0).equals("mn")) {
          job.answer = "MN\r\n".getBytes(StandardCharsets.US_ASCII);
        } else {
          handler.begun(this, job);
        }
        connection.jobs.add(job);
      }
    } catch (IOException e) {
      Rec.line("%s: connection ended: %s", id, e.getMessage());
    } finally {
      connections.remove(connection);
      try {
        connection.socket.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  private void write(Conn connection) {
    try {
      while (true) {
        Job job = connection.jobs.take();
        while (Rec.now() < job.readyAt) {
          Thread.sleep(1);
        }
        awaitNoHang();
        if (job.answer != null) {
          int length = job.resetAfter >= 0 ? job.resetAfter : job.answer.length;
          connection.socket.getOutputStream().write(job.answer, 0, length);
        }
        if (job.resetAfter >= 0) {
          Sys.sleep(RESET_DELAY);
          Rec.line("%s resets the connection after %d bytes of the answer to O%s", id,
              job.resetAfter, job.id());
          connection.reset();
          return;
        }
        if (job.answer == null) {
          return;
        }
      }
    } catch (IOException | InterruptedException e) {
      // The connection has ended.
    }
  }

  /** The answer that serves a command. */
  static byte[] served(Job job, int valueBytes) {
    if (job.isWrite()) {
      return ("HD O" + job.id() + " cR" + job.id() + "\r\n").getBytes(StandardCharsets.US_ASCII);
    }
    byte[] head = ("VA " + valueBytes + " O" + job.id() + " h1\r\n").getBytes(StandardCharsets.US_ASCII);
    byte[] answer = new byte[head.length + valueBytes + 2];
    System.arraycopy(head, 0, answer, 0, head.length);
    byte[] pattern = (job.id() + ".").getBytes(StandardCharsets.US_ASCII);
    for (int i = 0; i < valueBytes; i++) {
      answer[head.length + i] = pattern[i % pattern.length];
    }
    answer[answer.length - 2] = '\r';
    answer[answer.length - 1] = '\n';
    return answer;
  }
}
