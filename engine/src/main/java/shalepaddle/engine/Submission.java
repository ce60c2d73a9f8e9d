package shalepaddle.engine;

/**
 * A call that the engine has accepted, for {@link Dispatcher#clientDisconnected}: one with an
 * exchange of its own, or a read that waits for a shared one.
 */
public sealed interface Submission permits Exchange, CoalescedRead {}
