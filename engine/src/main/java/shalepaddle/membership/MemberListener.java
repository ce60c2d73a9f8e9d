package shalepaddle.membership;

/** Receives what a {@link MemberSource} learns, in order, on the event loop. */
public interface MemberListener {
  /** A complete list, or a change of it. */
  void onList(MemberList list);

  /**
   * The list could not be read, or is no longer followed.
   *
   * @param reason for the log
   */
  void onFailure(String reason);
}
