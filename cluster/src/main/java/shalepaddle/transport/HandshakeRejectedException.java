package shalepaddle.transport;

import java.io.IOException;

/** Who was asked has answered that it won't; the message says why. */
public final class HandshakeRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  /** With the reason, as it was given. */
  public HandshakeRejectedException(String why) {
    super(why);
  }
}
