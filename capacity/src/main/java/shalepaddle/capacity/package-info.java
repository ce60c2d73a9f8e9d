/**
 * What each role costs as the fleet grows: real decisions and membership code in hollow nodes, many
 * to a process, measured in steps of size and fitted to slopes. Nothing here is deployed.
 */
package shalepaddle.capacity;
