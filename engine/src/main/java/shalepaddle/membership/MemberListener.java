package shalepaddle.membership;

/** Receives the lists and failures of a {@link MemberSource}, in order, on the event loop. */
public interface MemberListener {
  /** Receives a complete list, or a change of the complete list. */
  void onList(MemberList list);

  /**
   * Called if the list could not be read, or is no longer followed.
   *
   * @param reason the reason to log
   */
  void onFailure(String reason);
}
