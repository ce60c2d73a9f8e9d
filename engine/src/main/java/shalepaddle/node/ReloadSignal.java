package shalepaddle.node;

import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The signal by which the platform tells of a new configuration. Guards against its default, which
 * ends the process.
 */
final class ReloadSignal {
  private static final Path STATUS = Path.of("/proc/self/status");
  private static final String IGNORED_SIGNALS = "SigIgn:";

  /** The bit of SIGHUP, the first signal, in a mask of signals. */
  private static final long MASK = 1;

  private ReloadSignal() {}

  /**
   * Whether the process was started with the signal ignored, as nohup does. The virtual machine
   * then leaves it so and tells nobody: the step never runs. False where the system does not say.
   */
  static boolean isIgnored() {
    try {
      return Files.readAllLines(STATUS).stream()
          .filter(line -> line.startsWith(IGNORED_SIGNALS))
          .map(line -> line.substring(IGNORED_SIGNALS.length()).trim())
          .anyMatch(mask -> (Long.parseUnsignedLong(mask, 16) & MASK) != 0);
    } catch (IOException | NumberFormatException e) {
      return false;
    }
  }

  /**
   * Runs the step, on a thread of the virtual machine's, at each SIGHUP. The classes are reached by
   * name: every virtual machine for Java 17 has them, yet the compiler warns of each use.
   */
  static void install(Runnable step) throws ReflectiveOperationException {
    Class<?> signal = Class.forName("sun.misc.Signal");
    Class<?> handler = Class.forName("sun.misc.SignalHandler");
    MethodHandle run =
        MethodHandles.lookup()
            .findVirtual(Runnable.class, "run", MethodType.methodType(void.class))
            .bindTo(step);
    Object handling =
        MethodHandleProxies.asInterfaceInstance(
            handler, MethodHandles.dropArguments(run, 0, signal));
    signal
        .getMethod("handle", signal, handler)
        .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), handling);
  }
}
