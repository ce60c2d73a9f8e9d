/**
 * What members of a group say to each other over TCP: frames with magic, version, length and
 * checksum, bounded in size, number and time. A peer of another group or version, or with bytes
 * that can't be read, is turned down with a line in the log. No sign-in: for loopback or an
 * installation's own network.
 */
package shalepaddle.transport;
