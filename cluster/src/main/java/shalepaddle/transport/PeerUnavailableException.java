package shalepaddle.transport;

import java.io.IOException;

/**
 * A request was not sent, or its response did not come: the peer is unknown, not connected, lost or
 * silent.
 */
public final class PeerUnavailableException extends IOException {
  private static final long serialVersionUID = 1;

  PeerUnavailableException(String reason) {
    super(reason);
  }
}
