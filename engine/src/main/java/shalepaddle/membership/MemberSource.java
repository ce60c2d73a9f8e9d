package shalepaddle.membership;

/**
 * A source of the list of cache servers. It passes what it learns to a {@link MemberListener}, on
 * the event loop, where its methods are called as well.
 */
public interface MemberSource {
  /** A list that never changes. */
  MemberSource FIXED =
      new MemberSource() {
        @Override
        public void follow() {
          // Nothing will change.
        }

        @Override
        public void stop() {
          // Nothing is followed.
        }
      };

  /** Follows the changes from the version known last; without effect while it does so already. */
  void follow();

  /** Stops following: the listener is not called again. */
  void stop();
}
