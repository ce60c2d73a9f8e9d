package shalepaddle.raft;

/** A defect that the simulation must find, or none. */
enum InjectedDefect {
  /** No defect. */
  NONE,
  /** No defect; disks fail for a while. */
  FAILING_DISKS,
  /** Disks fail for a while, and the failures are hidden from the store. */
  HIDDEN_DISK_FAILURES,
  /** A sync returns before anything is on disk. */
  IGNORED_SYNC,
  /** A machine that lost its disk comes back under its old name. */
  REUSED_NAME,
  /** A proposal is acknowledged as soon as the leader has appended it. */
  EARLY_ACKNOWLEDGEMENT,
  /** A read returns what is applied at the machine that gets it. */
  STALE_READ
}
