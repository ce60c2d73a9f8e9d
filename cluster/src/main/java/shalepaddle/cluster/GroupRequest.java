package shalepaddle.cluster;

/**
 * The requests that a member handles. The wire names never change, and some differ from the names
 * of the constants.
 */
enum GroupRequest {
  /** Commits a proposal and returns its result. Any member forwards it to the leader. */
  PROPOSE("hold"),
  /** Returns a snapshot of the committed state. Any member forwards it to the leader. */
  READ("read"),
  /** Returns the status of the member that receives the request. */
  STATUS("standing"),
  /**
   * Adds the named member as a learner and returns the initial members. Only the leader handles the
   * request, but a member that was added already gets the response from any member that knows of
   * the addition.
   */
  JOIN("join"),
  /** Makes the named learner a voter. Handled only by the leader. */
  PROMOTE("vote"),
  /** Removes the named member. Handled only by the leader. */
  REMOVE("remove");

  private final String wireName;

  GroupRequest(String wireName) {
    this.wireName = wireName;
  }

  String wireName() {
    return wireName;
  }

  /** The request with a wire name, null if this version does not know the name. */
  static GroupRequest ofWireName(String wireName) {
    for (GroupRequest request : values()) {
      if (request.wireName.equals(wireName)) {
        return request;
      }
    }
    return null;
  }
}
