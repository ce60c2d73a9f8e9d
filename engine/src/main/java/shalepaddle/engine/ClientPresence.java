package shalepaddle.engine;

/** What is known of a client that waits for an answer. */
public enum ClientPresence {
  /** The client was connected until a moment ago. */
  CONNECTED,

  /** The next poll of the client's connection tells whether the client has closed it. */
  UNCONFIRMED,

  /** Whether the client has closed its connection cannot be known until more of it is read. */
  UNKNOWN
}
