package shalepaddle.transport;

import java.io.IOException;

/** A member responded to a request with an error, which is the exception's message. */
public final class RequestRejectedException extends IOException {
  private static final long serialVersionUID = 1;

  /** Creates an exception with the error as it was received. */
  public RequestRejectedException(String error) {
    super(error);
  }
}
