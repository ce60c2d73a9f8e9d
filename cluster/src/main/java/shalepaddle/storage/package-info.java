/**
 * What a member of a group must still know after its process or machine has stopped at any moment:
 * its term, its vote, the log and the snapshot, on a disk of its own. Nothing is said to be held
 * before it is forced to that disk; what can't be proven is told, and never voted on.
 */
package shalepaddle.storage;
