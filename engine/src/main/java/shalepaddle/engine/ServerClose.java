package shalepaddle.engine;

/** Why a connection to a server closed. */
public enum ServerClose {
  /** This node closed it after bytes that it could not use. */
  INVALID_BYTES,
  /** This node closed it: it was idle, replaced, obsolete, or its last reply was not awaited. */
  DRAINED,
  /** The server or the network closed it. */
  REMOTE
}
