package shalepaddle.node;

import io.netty.util.internal.logging.AbstractInternalLogger;

/** A logger of the transport's whose levels below a warning are off: their methods do nothing. */
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
  public void trace(String format, Object first, Object second) {}

  @Override
  public void trace(String format, Object... arguments) {}

  @Override
  public void trace(String message, Throwable cause) {}

  @Override
  public void debug(String message) {}

  @Override
  public void debug(String format, Object argument) {}

  @Override
  public void debug(String format, Object first, Object second) {}

  @Override
  public void debug(String format, Object... arguments) {}

  @Override
  public void debug(String message, Throwable cause) {}

  @Override
  public void info(String message) {}

  @Override
  public void info(String format, Object argument) {}

  @Override
  public void info(String format, Object first, Object second) {}

  @Override
  public void info(String format, Object... arguments) {}

  @Override
  public void info(String message, Throwable cause) {}
}
