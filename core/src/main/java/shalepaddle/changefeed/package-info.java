/**
 * The change feed, which distributes the committed entries of a group's log from the members of the
 * group to all nodes. {@link shalepaddle.changefeed.ChangeFeedPublisher} decides what a member
 * sends to each subscriber. {@link shalepaddle.changefeed.ChangeFeedSubscriber} decides what a node
 * accepts, which member it subscribes to and whether it is in contact with the group.
 *
 * <p>No threads, sockets or clocks: time is an argument, in monotonic nanoseconds, and an {@code
 * Output} performs the actions that are decided on. Each object is owned by one thread. The package
 * depends only on the Java library; the bodies of entries are opaque to it.
 */
package shalepaddle.changefeed;
