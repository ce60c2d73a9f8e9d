package shalepaddle.engine;

/**
 * A call that the engine has accepted, as passed to {@link Dispatcher#clientDisconnected}: an
 * exchange of its own, or a read that waits for a shared exchange.
 */
public sealed interface Submission permits Exchange, CoalescedRead {}
