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
 * A platform that owns the clients' listening socket and passes it to each process that it starts,
 * as descriptor 0. Java can't start a process with a socket as its standard input, so the C library
 * creates the socket and the processes.
 */
final class Platform implements Closeable {
  /** The C library's functions that are called here. */
  private interface CLibrary extends Library {
    CLibrary INSTANCE = Native.load("c", CLibrary.class);

    int socket(int domain, int type, int protocol);

    int bind(int socket, Pointer address, int length);

    int listen(int socket, int backlog);

    int getsockname(int socket, Pointer address, IntByReference length);

    int close(int descriptor);

    int kill(int pid, int signal);

    int waitpid(int pid, IntByReference statusReference, int options);

    int posix_spawn_file_actions_init(Pointer fileActions);

    int posix_spawn_file_actions_adddup2(
        Pointer fileActions, int sourceDescriptor, int targetDescriptor);

    int posix_spawn_file_actions_addopen(
        Pointer fileActions, int descriptor, String path, int flags, int mode);

    int posix_spawn(
        IntByReference pid,
        String path,
        Pointer fileActions,
        Pointer attributes,
        StringArray arguments,
        StringArray environment);
  }

  private static final int AF_INET = 2;
  private static final int SOCK_STREAM = 1;

  /** The flags O_WRONLY, O_CREAT and O_APPEND of Linux. */
  private static final int LOG_OPEN_FLAGS = 01 | 0100 | 02000;

  static final int SIGKILL = 9;
  static final int SIGTERM = 15;
  static final int SIGHUP = 1;
  private static final int WNOHANG = 1;

  private final int listeningSocket;
  private final int port;
  private final List<StartedProcess> startedProcesses = new ArrayList<>();

  Platform() throws IOException {
    listeningSocket = CLibrary.INSTANCE.socket(AF_INET, SOCK_STREAM, 0);
    Memory address = new Memory(16);
    address.clear();
    address.setShort(0, (short) AF_INET);
    address.setByte(4, (byte) 127);
    address.setByte(7, (byte) 1);
    if (CLibrary.INSTANCE.bind(listeningSocket, address, 16) != 0
        || CLibrary.INSTANCE.listen(listeningSocket, 512) != 0) {
      throw new IOException("cannot bind a socket to 127.0.0.1 and listen");
    }
    CLibrary.INSTANCE.getsockname(listeningSocket, address, new IntByReference(16));
    port = ((address.getByte(2) & 0xFF) << 8) | (address.getByte(3) & 0xFF);
  }

  InetSocketAddress address() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
  }

  /** A process that the platform started. */
  static final class StartedProcess {
    private final int pid;
    private boolean hasEnded;

    private StartedProcess(int pid) {
      this.pid = pid;
    }

    void sendSignal(int signal) {
      CLibrary.INSTANCE.kill(pid, signal);
    }

    boolean isRunning() {
      hasEnded |= CLibrary.INSTANCE.waitpid(pid, new IntByReference(), WNOHANG) != 0;
      return !hasEnded;
    }

    boolean awaitEnd(long timeoutMillis) throws InterruptedException {
      for (long remainingMillis = timeoutMillis;
          remainingMillis > 0 && isRunning();
          remainingMillis -= 10) {
        Thread.sleep(10);
      }
      return !isRunning();
    }

    /** Returns the process's CPU time in milliseconds, or -1 after the process has ended. */
    long cpuMillis() {
      try {
        String statLine = Files.readString(Path.of("/proc/" + pid + "/stat"));
        String[] statFields = statLine.substring(statLine.lastIndexOf(')') + 2).split(" ", 0);
        return 10 * (Long.parseLong(statFields[11]) + Long.parseLong(statFields[12]));
      } catch (IOException e) {
        return -1;
      }
    }

    /** Returns the process's resident memory in kilobytes. */
    long residentKilobytes() throws IOException {
      for (String line : Files.readAllLines(Path.of("/proc/" + pid + "/status"))) {
        if (line.startsWith("VmRSS:")) {
          return Long.parseLong(line.replaceAll("\\D", ""));
        }
      }
      return 0;
    }
  }

  /** Starts a shell command with the socket as descriptor 0; its output goes to a log file. */
  StartedProcess start(String command, Map<String, String> environment, Path logFile)
      throws IOException {
    Memory fileActions = new Memory(256);
    CLibrary.INSTANCE.posix_spawn_file_actions_init(fileActions);
    CLibrary.INSTANCE.posix_spawn_file_actions_adddup2(fileActions, listeningSocket, 0);
    CLibrary.INSTANCE.posix_spawn_file_actions_addopen(
        fileActions, 1, logFile.toString(), LOG_OPEN_FLAGS, 0644);
    CLibrary.INSTANCE.posix_spawn_file_actions_adddup2(fileActions, 1, 2);
    List<String> variableTexts = new ArrayList<>();
    environment.forEach((name, value) -> variableTexts.add(name + "=" + value));
    IntByReference pid = new IntByReference();
    int errorNumber =
        CLibrary.INSTANCE.posix_spawn(
            pid,
            "/bin/sh",
            fileActions,
            null,
            new StringArray(new String[] {"/bin/sh", "-c", command}),
            new StringArray(variableTexts.toArray(String[]::new)));
    if (errorNumber != 0) {
      throw new IOException(
          "posix_spawn of '" + command + "' failed with error number " + errorNumber);
    }
    StartedProcess process = new StartedProcess(pid.getValue());
    startedProcesses.add(process);
    return process;
  }

  @Override
  public void close() throws IOException {
    for (StartedProcess process : startedProcesses) {
      if (process.isRunning()) {
        process.sendSignal(SIGKILL);
        try {
          process.awaitEnd(10_000);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
    CLibrary.INSTANCE.close(listeningSocket);
  }
}
