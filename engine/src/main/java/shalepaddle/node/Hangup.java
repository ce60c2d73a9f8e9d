package shalepaddle.node;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandleProxies;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;

/**
 * The signal by which the platform tells of a new configuration. Guards against its default, which
 * ends the process.
 */
final class Hangup {
  private Hangup() {}

  /**
   * Runs the step, on a thread of the virtual machine's, at each SIGHUP. The classes are reached by
   * name: every virtual machine for Java 17 has them, yet the compiler warns of each use.
   */
  static void on(Runnable step) throws ReflectiveOperationException {
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
