package shalepaddle.membership;

/** Is told what a {@link MemberSource} learns, in the order in which it does. */
public interface MemberListener {
  /** The list, or a change of it. */
  void onList(MemberList list);

  /** The list could not be had, or is no longer followed. */
  void onFailure(String why);
}
