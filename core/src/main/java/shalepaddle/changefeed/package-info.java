/**
 * The way from the few members of a group to every node: what a member sends whom, and what a node
 * takes, when it is out of contact, and whom it follows next. Pure: time is an argument.
 */
package shalepaddle.changefeed;
