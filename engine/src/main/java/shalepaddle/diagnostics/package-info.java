/**
 * Diagnostic records for operators: counters of events by reason and the recent history of each
 * request. The package depends on no other package.
 *
 * <p>A {@link shalepaddle.diagnostics.FlightRecorder} is owned by one event loop's thread; an
 * {@link shalepaddle.diagnostics.EventCounts} is immutable and may go to any thread.
 */
package shalepaddle.diagnostics;
