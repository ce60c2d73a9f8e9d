package shalepaddle.node;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Arrays;
import shalepaddle.loop.Log;

/**
 * Writes Netty's warnings and errors as lines of the node's log. Netty's default, {@code
 * java.util.logging}, opens files when it writes its first line. If the process has run out of
 * descriptors, this fails with an {@link Error} that ends the event loop. This logger needs no
 * descriptor. Thread-safe, like the node's log.
 */
final class NettyLog extends WarningsOnlyLogger {
  private static final long serialVersionUID = 1;

  private final transient Log log;

  private NettyLog(String name, Log log) {
    super(name);
    this.log = log;
  }

  /** Makes each Netty class that is loaded from now on write to this log. */
  static void install(Log log) {
    InternalLoggerFactory.setDefaultFactory(
        new InternalLoggerFactory() {
          @Override
          protected InternalLogger newInstance(String name) {
            return new NettyLog(name, log);
          }
        });
  }

  private void write(String level, String message, Object... arguments) {
    String values = arguments.length == 0 ? "" : " " + Arrays.toString(arguments);
    log.writeLine("event=transport level=" + level + " logger=" + name() + " " + message + values);
  }

  @Override
  public void warn(String message) {
    write("warn", message);
  }

  @Override
  public void warn(String format, Object argument) {
    write("warn", format, argument);
  }

  @Override
  public void warn(String format, Object firstArgument, Object secondArgument) {
    write("warn", format, firstArgument, secondArgument);
  }

  @Override
  public void warn(String format, Object... arguments) {
    write("warn", format, arguments);
  }

  @Override
  public void warn(String message, Throwable cause) {
    write("warn", message, cause);
  }

  @Override
  public void error(String message) {
    write("error", message);
  }

  @Override
  public void error(String format, Object argument) {
    write("error", format, argument);
  }

  @Override
  public void error(String format, Object firstArgument, Object secondArgument) {
    write("error", format, firstArgument, secondArgument);
  }

  @Override
  public void error(String format, Object... arguments) {
    write("error", format, arguments);
  }

  @Override
  public void error(String message, Throwable cause) {
    write("error", message, cause);
  }
}
