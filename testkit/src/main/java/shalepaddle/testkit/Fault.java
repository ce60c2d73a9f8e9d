package shalepaddle.testkit;

/** Faults that a {@link StandInServer} can inject into a response or its connection. */
public enum Fault {
  /** Closes the connection before the first byte of the response, after the request has run. */
  CLOSE_BEFORE_RESPONSE,
  /** Closes the connection in the middle of the response. */
  CLOSE_WITHIN_RESPONSE,
  /** Sends the response, then closes the connection. */
  CLOSE_AFTER_RESPONSE,
  /** Sends the first half of the response and nothing more, and leaves the connection open. */
  HALF_RESPONSE,
  /** Sends neither this response nor any later one on the connection, and leaves it open. */
  STALL,
  /** Sends bytes that are not a valid response. */
  GARBAGE,
  /** Sends the response with the id of another request. */
  WRONG_ID,
  /** Announces a value of 3 GB and sends only its first 10 KiB, in small pieces. */
  OVERSIZED_RESPONSE,
  /** Sends the response twice. */
  DUPLICATE_RESPONSE,
  /** Sends the response followed by garbage bytes. */
  TRAILING_GARBAGE,
  /** Responds with an error although the request has run. */
  ERROR,
  /** Rejects the request as busy, without running it. */
  BUSY
}
