package shalepaddle.transport;

import java.io.IOException;

/** The handshake of a peer was rejected; the message gives the reason. */
public final class HandshakeRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  HandshakeRejectedException(String reason) {
    super(reason);
  }
}
