package shalepaddle.raft;

/** A proposal is not held by the group, or nobody knows. */
public final class NotCommittedException extends Exception {
  private static final long serialVersionUID = 1;

  /** What is known of it. */
  public enum Outcome {
    /** It is in nobody's log, and never will be. */
    REJECTED,
    /** It may be held, now or later: to be asked again under the same id. */
    INDETERMINATE
  }

  private final Outcome outcome;
  private final String leader;

  /** With a reason for people, and who may know better, null for nobody. */
  public NotCommittedException(Outcome known, String why, String leader) {
    super(why);
    this.outcome = known;
    this.leader = leader;
  }

  /** What is known of it. */
  public Outcome outcome() {
    return outcome;
  }

  /** Who leads instead, null if that is not known. */
  public String leader() {
    return leader;
  }
}
