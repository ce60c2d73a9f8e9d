package shalepaddle.storage;

/**
 * The member that owns the log in a directory.
 *
 * @param group the name of the Raft group
 * @param member the name of the member
 */
public record LogOwner(String group, String member) {}
