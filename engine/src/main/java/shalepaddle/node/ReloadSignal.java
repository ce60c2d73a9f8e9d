package shalepaddle.node;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * SIGHUP, by which the platform asks for a configuration reload. Without a handler it would end the
 * process.
 */
final class ReloadSignal {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String IGNORED_SIGNALS = "SigIgn:";

  /** The bit of SIGHUP, which is signal 1, in a mask of signals. */
  private static final long SIGHUP_MASK = 1;

  private ReloadSignal() {}

  /**
   * Whether the process was started with the signal ignored, as by nohup. The virtual machine
   * leaves it so without an error, and the handler never runs. False where the system has no such
   * file.
   */
  static boolean isIgnored() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith(IGNORED_SIGNALS))
          .map(line -> line.substring(IGNORED_SIGNALS.length()).trim())
          .anyMatch(mask -> (Long.parseUnsignedLong(mask, 16) & SIGHUP_MASK) != 0);
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }

  /**
   * Runs the handler, on a thread of the virtual machine's, at each SIGHUP. The classes are reached
   * by name: every virtual machine for Java 17 has them, yet the compiler warns of each use.
   *
   * @throws ReflectiveOperationException if this virtual machine has no such classes
   */
  static void install(Runnable handler) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handlerType = Class.forName("sun.misc.SignalHandler");
    MethodHandle run =
        MethodHandles.lookup()
            .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
            .bindTo(handler);
    Object proxy =
        MethodHandleProxies.asInterfaceInstance(
            handlerType, MethodHandles.dropArguments(run, 0, signal));
    signal
        .getMethod("handle", signal, handlerType)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
  }
}
