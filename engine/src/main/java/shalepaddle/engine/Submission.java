package shalepaddle.engine;

/**
 * A call that the engine has taken, for {@link Dispatcher#clientDisconnected}: either one with an
 * exchange of its own, or one that waits for an exchange that it shares with like ones.
 */
public sealed interface Submission permits Exchange, CoalescedRead {}
