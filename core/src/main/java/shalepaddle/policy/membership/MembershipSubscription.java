package shalepaddle.policy.membership;

/** Actions by which {@link ServerRegistry} follows the endpoint list; its owner performs them. */
public interface MembershipSubscription {
  /** Subscribes to watch events of the endpoint list; the first event is the complete list. */
  void subscribe();

  /** Schedules a call of {@link ServerRegistry#onTimer} after a delay in seconds. */
  void scheduleTimer(double delaySeconds);
}
