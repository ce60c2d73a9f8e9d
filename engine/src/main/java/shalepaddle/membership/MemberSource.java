package shalepaddle.membership;

/**
 * A source of the list of cache servers. It passes lists and failures to a {@link MemberListener}
 * on the event loop. The methods of the source are called on the event loop, too.
 */
public interface MemberSource {
  /** A list that never changes. */
  MemberSource FIXED_LIST =
      new MemberSource() {
        @Override
        public void follow() {
          // There is nothing to follow: the list never changes.
        }

        @Override
        public void stop() {
          // There is nothing to stop: the list never changes.
        }
      };

  /** Follows changes after the latest known version; no effect if they are followed already. */
  void follow();

  /** Stops following: the listener is not called again. */
  void stop();
}
