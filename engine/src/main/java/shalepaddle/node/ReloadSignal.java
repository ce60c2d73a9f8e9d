package shalepaddle.node;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Handles SIGHUP, the platform's request for a configuration reload. Without a handler the signal
 * would end the process.
 */
final class ReloadSignal {
  private static final Path STATUS_FILE = Path.of("/proc/self/status");
  private static final String IGNORED_SIGNALS_PREFIX = "SigIgn:";

  /** The bit of SIGHUP (signal 1) in a signal mask. */
  private static final long SIGHUP_MASK = 1;

  private ReloadSignal() {}

  /**
   * Whether the process was started with SIGHUP ignored, as by nohup. The virtual machine then
   * keeps SIGHUP ignored without reporting an error, and the handler never runs. False if the
   * system has no {@code /proc/self/status}.
   */
  static boolean isIgnored() {
    try {
      return Files.readAllLines(STATUS_FILE).stream()
          .filter(line -> line.startsWith(IGNORED_SIGNALS_PREFIX))
          .map(line -> line.substring(IGNORED_SIGNALS_PREFIX.length()).trim())
          .anyMatch(mask -> (Long.parseUnsignedLong(mask, 16) & SIGHUP_MASK) != 0);
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }

  /**
   * Runs the handler at each SIGHUP, on a thread of the virtual machine. The {@code sun.misc}
   * classes are accessed by reflection: every virtual machine for Java 17 has them, but the
   * compiler warns of each use.
   *
   * @throws ReflectiveOperationException if this virtual machine does not have these classes
   */
  static void install(Runnable handler) throws ReflectiveOperationException {
    Class<?> signalType = Class.forName("sun.misc.Signal");
    Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
    MethodHandle run =
        MethodHandles.lookup()
            .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
            .bindTo(handler);
    Object proxy =
        MethodHandleProxies.asInterfaceInstance(
            handlerType, MethodHandles.dropArguments(run, 0, signalType));
    signalType
        .getMethod("handle", signalType, handlerType)
        .invoke(null, signalType.getConstructor(String.class).newInstance("HUP"), proxy);
  }
}
