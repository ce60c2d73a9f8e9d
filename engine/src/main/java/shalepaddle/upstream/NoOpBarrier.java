package shalepaddle.upstream;

/**
 * Counts the no-op requests on one connection and their replies. A reply to a no-op that was
 * written behind other requests shows that all of these have been answered, since replies are sent
 * in the order of the requests.
 *
 * <p>A reply to a no-op has no identity, and a copy of it may follow at any time, unless another
 * request waited behind the no-op. Each barrier is therefore passed only once more replies were
 * received than can be copies and replies to earlier no-ops. Owned by the connection, on its event
 * loop.
 */
final class NoOpBarrier {
  /** Bounds the no-ops of one barrier. */
  private static final int MAX_COPYABLE_REPLIES = 3;

  private long written;
  private long received;
  private int copyableReplies;
  private long passedAtReceived;
  private boolean isPending;

  /**
   * Starts a barrier behind all requests written so far.
   *
   * @param isFollowed whether another request is written right behind the no-ops
   * @return how many no-ops to write
   */
  int begin(boolean isFollowed) {
    int count = copyableReplies + 1;
    written += count;
    passedAtReceived = written;
    isPending = true;
    if (!isFollowed) {
      copyableReplies++;
    }
    return count;
  }

  /** Whether a barrier was started and not passed yet. */
  boolean isPending() {
    return isPending;
  }

  /** Whether the reply to a no-op is outstanding. */
  boolean isReplyOutstanding() {
    return received < written;
  }

  /** Whether further barriers would take too many no-ops. */
  boolean isExhausted() {
    return copyableReplies >= MAX_COPYABLE_REPLIES;
  }

  /** Counts a reply. Returns false if it can neither answer a no-op nor be a copy. */
  boolean replyReceived() {
    received++;
    return received <= written + copyableReplies;
  }

  /** Whether the pending barrier has been passed; true once for each barrier. */
  boolean takePassed() {
    if (!isPending || received < passedAtReceived) {
      return false;
    }
    isPending = false;
    return true;
  }
}
