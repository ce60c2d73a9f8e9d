/**
 * The change feed: the committed entries of a group's log on their way from its few members to
 * every node. {@link shalepaddle.changefeed.ChangeFeedPublisher} decides what a member sends to
 * whom, {@link shalepaddle.changefeed.ChangeFeedSubscriber} what a node accepts, which member it
 * subscribes to and whether it is in contact with the group.
 *
 * <p>No threads, sockets or clocks: time is an argument, in monotonic nanoseconds, and what is
 * decided is carried out by an {@code Output}. Each object is owned by one thread. The package
 * calls nothing but the Java library; the bodies of entries are opaque to it.
 */
package shalepaddle.changefeed;
