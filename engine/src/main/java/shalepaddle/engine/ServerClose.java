package shalepaddle.engine;

import shalepaddle.model.Outcome;

/** Why a connection to a server closed. */
public enum ServerClose {
  /** This node closed it after bytes that it could not use. */
  INVALID_BYTES,
  /** This node closed it: it was idle, replaced, obsolete, or its last reply was not awaited. */
  DRAINED,
  /** The server or the network closed it. */
  REMOTE;

  /** The reason of a close, by what was known of the connection before. */
  public static ServerClose of(boolean hadInvalidBytes, boolean wasDraining) {
    if (hadInvalidBytes) {
      return INVALID_BYTES;
    }
    return wasDraining ? DRAINED : REMOTE;
  }

  /**
   * The result of an attempt that was in flight. A request whose last byte was not handed to the
   * socket has provably not run.
   */
  public Outcome.Result resultOf(Attempt attempt) {
    if (!attempt.isWritten()) {
      return Outcome.Result.CONNECT_FAILED;
    }
    return this == INVALID_BYTES ? Outcome.Result.MALFORMED_RESPONSE : Outcome.Result.RESET;
  }
}
