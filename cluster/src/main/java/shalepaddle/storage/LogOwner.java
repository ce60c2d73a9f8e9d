package shalepaddle.storage;

/**
 * Whose log a directory holds.
 *
 * @param group the name of the Raft group
 * @param member the name of the member
 */
public record LogOwner(String group, String member) {}
