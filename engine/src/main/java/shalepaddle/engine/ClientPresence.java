package shalepaddle.engine;

/** What is known of a client that waits for an answer. */
public enum ClientPresence {
  /** The client was connected until a moment ago. */
  CONNECTED,

  /** Whether the client has closed its connection is known soon, as all of it is read. */
  UNCONFIRMED,

  /** Whether the client has closed its connection cannot be known, since it is not read. */
  UNKNOWN
}
