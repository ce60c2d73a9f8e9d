package shalepaddle.model;

/**
 * One line of the endpoint list.
 *
 * @param id the server's id, the same at every load balancer
 * @param zone its zone; empty if unknown
 * @param kind the machine kind
 * @param cell the cell it belongs to
 * @param state its state in the list
 * @param weight its weight relative to other servers
 * @param startedAtSeconds its last start by the wall clock of the list's author, comparable only
 *     with other start times of that list; 0 if long ago
 */
public record ServerEntry(
    long id,
    String zone,
    String kind,
    int cell,
    State state,
    double weight,
    double startedAtSeconds) {

  /** The state of a server in the endpoint list. */
  public enum State {
    /** The server accepts requests. */
    READY,
    /** The server completes its requests in progress and accepts no new ones. */
    DRAINING,
    /** The server is no longer listed. */
    REMOVED
  }
}
