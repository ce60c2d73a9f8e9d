/**
 * Measures what each part of the system ({@link shalepaddle.capacity.CapacityRun.Role}) costs as
 * the fleet grows. Many hollow nodes in one process run the production routing and membership code;
 * each figure is measured at several sizes and a straight line is fitted to it. Nothing here is
 * deployed.
 */
package shalepaddle.capacity;
