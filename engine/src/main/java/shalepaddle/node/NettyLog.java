package shalepaddle.node;

import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Arrays;
import shalepaddle.loop.Log;

/**
 * Writes the transport's warnings and errors as lines of the node's log. The transport's default,
 * the Java platform's logger, opens files when it writes its first line. That fails while
 * descriptors are short, with an {@link Error} that ends the event loop. This logger needs no
 * descriptor. Thread-safe, as the node's log is.
 */
final class NettyLog extends WarningsOnlyLogger {
  private static final long serialVersionUID = 1;

  private final transient Log log;

  private NettyLog(String name, Log log) {
    super(name);
    this.log = log;
  }

  /** From now on each class of the transport that is loaded logs there. */
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
    log.line("event=transport level=" + level + " logger=" + name() + " " + message + values);
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
  public void warn(String format, Object first, Object second) {
    write("warn", format, first, second);
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
  public void error(String format, Object first, Object second) {
    write("error", format, first, second);
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
