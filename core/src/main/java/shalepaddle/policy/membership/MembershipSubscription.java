package shalepaddle.policy.membership;

/** What {@link ServerRegistry} needs to follow the endpoint list; carried out by its owner. */
public interface MembershipSubscription {
  /** Subscribes to watch events of the endpoint list, which begins with a complete list. */
  void subscribe();

  /** Schedules a call of {@link ServerRegistry#onTimer} after a delay in seconds. */
  void scheduleTimer(double delaySeconds);
}
