/**
 * Simulated days: the real engine and the stand-ins of the test kit in one thread and in virtual
 * time, with faults drawn from a seed, held against the four rules and looked through for leaks.
 */
package shalepaddle.simulation;
