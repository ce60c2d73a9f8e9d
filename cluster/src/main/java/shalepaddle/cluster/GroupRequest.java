package shalepaddle.cluster;

/**
 * What may be requested of a member. The wire names never change, and some differ from the names of
 * the constants.
 */
enum GroupRequest {
  /** Commits a proposal; answered with its result. Any member passes it on to the leader. */
  PROPOSE("hold"),
  /** Reads the committed state; answered with a snapshot. Any member passes it on to the leader. */
  READ("read"),
  /** Answered with the member's own status. */
  STATUS("standing"),
  /**
   * Adds the named member as a learner, by the leader alone; answered with the initial members. Any
   * member answers if the named one is a member already.
   */
  JOIN("join"),
  /** Makes the named learner a voter, by the leader alone. */
  PROMOTE("vote"),
  /** Removes the named member, by the leader alone. */
  REMOVE("remove");

  private final String wireName;

  GroupRequest(String wireName) {
    this.wireName = wireName;
  }

  String wireName() {
    return wireName;
  }

  /** The request of a wire name, null if this version does not know it. */
  static GroupRequest ofWireName(String wireName) {
    for (GroupRequest request : values()) {
      if (request.wireName.equals(wireName)) {
        return request;
      }
    }
    return null;
  }
}
