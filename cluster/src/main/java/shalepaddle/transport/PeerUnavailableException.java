package shalepaddle.transport;

import java.io.IOException;

/**
 * A request was not sent, or its response was not received: the peer is unknown or not connected,
 * its connection was lost, or it did not respond in time.
 */
public final class PeerUnavailableException extends IOException {
  private static final long serialVersionUID = 1;

  PeerUnavailableException(String reason) {
    super(reason);
  }
}
