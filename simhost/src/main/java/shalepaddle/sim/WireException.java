package shalepaddle.sim;

/** The input broke the wire's rules; the message names the line and what is wrong with it. */
public final class WireException extends Exception {
  private static final long serialVersionUID = 1L;

  /** Says what is wrong with the input. */
  public WireException(String message) {
    super(message);
  }
}
