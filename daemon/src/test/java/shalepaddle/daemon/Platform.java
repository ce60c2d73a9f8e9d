package shalepaddle.daemon;

import com.sun.jna.Library;
import com.sun.jna.Memory;
import com.sun.jna.Native;
import com.sun.jna.Pointer;
import com.sun.jna.StringArray;
import com.sun.jna.ptr.IntByReference;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * A platform that holds the clients' listening socket and hands it down to each process that it
 * starts, as descriptor 0. Java starts no process with a socket for its standard input, so that the
 * C library is called for both.
 */
final class Platform implements Closeable {
  /** What is needed of the C library; figures are Linux's. */
  private interface C extends Library {
    C LIBRARY = Native.load("c", C.class);

    int socket(int domain, int type, int protocol);

    int bind(int socket, Pointer address, int length);

    int listen(int socket, int backlog);

    int getsockname(int socket, Pointer address, IntByReference length);

    int close(int descriptor);

    int kill(int pid, int signal);

    int waitpid(int pid, IntByReference status, int options);

    int posix_spawn_file_actions_init(Pointer actions);

    int posix_spawn_file_actions_adddup2(Pointer actions, int from, int to);

    int posix_spawn_file_actions_addopen(
        Pointer actions, int descriptor, String path, int flags, int mode);

    int posix_spawn(
        IntByReference pid,
        String path,
        Pointer actions,
        Pointer attributes,
        StringArray arguments,
        StringArray environment);
  }

  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;
  private static final int APPEND = 01 | 0100 | 02000;
  static final int KILL = 9;
  static final int TERM = 15;
  static final int HUP = 1;
  private static final int WNOHANG = 1;

  private final int socket;
  private final int port;
  private final List<Started> started = new ArrayList<>();

  Platform() throws IOException {
    socket = C.LIBRARY.socket(AF_INET, SOCK_STREAM, 0);
    Memory address = new Memory(16);
    address.clear();
    address.setShort(0, (short) AF_INET);
    address.setByte(4, (byte) 127);
    address.setByte(7, (byte) 1);
    if (C.LIBRARY.bind(socket, address, 16) != 0 || C.LIBRARY.listen(socket, 512) != 0) {
      throw new IOException("cannot listen");
    }
    C.LIBRARY.getsockname(socket, address, new IntByReference(16));
    port = ((address.getByte(2) & 0xFF) << 8) | (address.getByte(3) & 0xFF);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** A process of the node. */
  static final class Started {
    private final int pid;
    private boolean ended;

    private Started(int pid) {
      this.pid = pid;
    }

    void signal(int signal) {
      C.LIBRARY.kill(pid, signal);
    }

    boolean running() {
      ended |= C.LIBRARY.waitpid(pid, new IntByReference(), WNOHANG) != 0;
      return !ended;
    }

    boolean awaitEnd(long millis) throws InterruptedException {
      for (long left = millis; left > 0 && running(); left -= 10) {
        Thread.sleep(10);
      }
      return !running();
    }

    /** Milliseconds of processor time that it has used, in all its threads; -1 once it has gone. */
    long processorMillis() {
      try {
        String stat = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ", 0);
        return 10 * (Long.parseLong(fields[11]) + Long.parseLong(fields[12]));
      } catch (IOException e) {
        return -1;
      }
    }

    /** Kilobytes that it holds in memory. */
    long residentKilobytes() throws IOException {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", ""));
        }
      }
      return 0;
    }
  }

  /** Starts a command of the deploy file with the socket as its descriptor 0. */
  Started start(String command, Map<String, String> environment, Path log) throws IOException {
    Memory actions = new Memory(256);
    C.LIBRARY.posix_spawn_file_actions_init(actions);
    C.LIBRARY.posix_spawn_file_actions_adddup2(actions, socket, 0);
    C.LIBRARY.posix_spawn_file_actions_addopen(actions, 1, log.toString(), APPEND, 0644);
    C.LIBRARY.posix_spawn_file_actions_adddup2(actions, 1, 2);
    List<String> variables = new ArrayList<>();
    environment.forEach((name, value) -> variables.add(name + "=" + value));
    IntByReference pid = new IntByReference();
    int failed =
        C.LIBRARY.posix_spawn(
            pid,
            "/bin/sh",
            actions,
            null,
            new StringArray(new String[] {"/bin/sh", "-c", command}),
            new StringArray(variables.toArray(String[]::new)));
    if (failed != 0) {
      throw new IOException("cannot start: " + failed);
    }
    Started process = new Started(pid.getValue());
    started.add(process);
    return process;
  }

  @Override
  public void close() throws IOException {
    for (Started process : started) {
      if (process.running()) {
        process.signal(KILL);
        try {
          process.awaitEnd(10_000);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    C.LIBRARY.close(socket);
  }
}
