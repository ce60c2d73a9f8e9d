package shalepaddle.capacity;

import shalepaddle.changefeed.ChangeEntry;

/**
 * A committed entry of the log in a {@link HollowFeed}.
 *
 * @param previousIndex the index of the published entry before this one, 0 if there is none
 * @param committedNanos the virtual time of the commit
 */
record LoggedEntry(ChangeEntry entry, long previousIndex, long committedNanos) {}
