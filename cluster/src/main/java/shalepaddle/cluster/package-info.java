/**
 * A member of a group put together: its folder, its thread, its links, its part in the agreement.
 * Who asks any member is answered by whoever leads.
 */
package shalepaddle.cluster;
