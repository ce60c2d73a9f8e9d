package shalepaddle.node;

import io.netty.util.internal.logging.AbstractInternalLogger;

/** A Netty logger with all levels below warning disabled: their methods do nothing. */
abstract class WarningsOnlyLogger extends AbstractInternalLogger {
  private static final long serialVersionUID = 1;

  WarningsOnlyLogger(String name) {
    super(name);
  }

  @Override
  public boolean isTraceEnabled() {
    return false;
  }

  @Override
  public boolean isDebugEnabled() {
    return false;
  }

  @Override
  public boolean isInfoEnabled() {
    return false;
  }

  @Override
  public boolean isWarnEnabled() {
    return true;
  }

  @Override
  public boolean isErrorEnabled() {
    return true;
  }

  @Override
  public void trace(String message) {}

  @Override
  public void trace(String format, Object argument) {}

  @Override
  public void trace(String format, Object firstArgument, Object secondArgument) {}

  @Override
  public void trace(String format, Object... arguments) {}

  @Override
  public void trace(String message, Throwable cause) {}

  @Override
  public void debug(String message) {}

  @Override
  public void debug(String format, Object argument) {}

  @Override
  public void debug(String format, Object firstArgument, Object secondArgument) {}

  @Override
  public void debug(String format, Object... arguments) {}

  @Override
  public void debug(String message, Throwable cause) {}

  @Override
  public void info(String message) {}

  @Override
  public void info(String format, Object argument) {}

  @Override
  public void info(String format, Object firstArgument, Object secondArgument) {}

  @Override
  public void info(String format, Object... arguments) {}

  @Override
  public void info(String message, Throwable cause) {}
}
