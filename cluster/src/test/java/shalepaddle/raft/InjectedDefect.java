package shalepaddle.raft;

/**
 * A defect that is injected into a simulated group. The simulation must detect each defect except
 * {@link #NONE} and {@link #FAILING_DISKS}.
 */
enum InjectedDefect {
  /** No defect. */
  NONE,
  /** No defect, but disks fail temporarily, from which the members must recover. */
  FAILING_DISKS,
  /** Disks fail temporarily, and the failures are hidden from the log store. */
  HIDDEN_DISK_FAILURES,
  /** A sync returns without writing anything to disk. */
  IGNORED_SYNC,
  /** A machine that lost its disk restarts under its old name. */
  REUSED_NAME,
  /** A proposal is acknowledged as soon as the leader has appended it. */
  EARLY_ACKNOWLEDGEMENT,
  /** A read returns the state that the receiving machine has applied, even if it is stale. */
  STALE_READ
}
