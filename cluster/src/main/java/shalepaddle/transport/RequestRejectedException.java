package shalepaddle.transport;

import java.io.IOException;

/** A member answered a request with an error; the message is the one that it sent. */
public final class RequestRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  /** With the error, as it was sent. */
  public RequestRejectedException(String error) {
    super(error);
  }
}
