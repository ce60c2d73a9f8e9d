package shalepaddle.transport;

import java.io.IOException;

/** A peer was rejected when its connection began; the message gives the reason. */
public final class HandshakeRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  HandshakeRejectedException(String reason) {
    super(reason);
  }
}
