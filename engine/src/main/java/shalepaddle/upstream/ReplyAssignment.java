package shalepaddle.upstream;

/**
 * The ways in which a sequence of replies can answer a sequence of attempts on one connection.
 *
 * <p>Each attempt is answered by exactly one reply, in the order of the attempts. The remaining
 * replies are copies of earlier ones. Which request id a reply bears is not considered, since a
 * server may answer with the id of another request. Immutable.
 */
final class ReplyAssignment {
  /** At [i][j]: whether the first j replies can answer exactly the first i attempts. */
  private final boolean[][] answeredByPrefix;

  /** At [i][j]: whether the replies from j on can answer exactly the attempts from i on. */
  private final boolean[][] answeredBySuffix;

  private final int attemptCount;
  private final int replyCount;

  /**
   * Computes the assignments.
   *
   * @param attemptCount the number of attempts, all of which have been answered
   * @param canBeCopy for each reply, in the order of arrival, whether it can be a copy
   */
  ReplyAssignment(int attemptCount, boolean[] canBeCopy) {
    this.attemptCount = attemptCount;
    this.replyCount = canBeCopy.length;
    this.answeredByPrefix = new boolean[attemptCount + 1][replyCount + 1];
    this.answeredBySuffix = new boolean[attemptCount + 1][replyCount + 1];
    computePrefixes(canBeCopy);
    computeSuffixes(canBeCopy);
  }

  private void computePrefixes(boolean[] canBeCopy) {
    answeredByPrefix[0][0] = true;
    for (int j = 1; j <= replyCount; j++) {
      for (int i = 0; i <= attemptCount; i++) {
        boolean isAnswer = i > 0 && answeredByPrefix[i - 1][j - 1];
        boolean isCopy = canBeCopy[j - 1] && answeredByPrefix[i][j - 1];
        answeredByPrefix[i][j] = isAnswer || isCopy;
      }
    }
  }

  private void computeSuffixes(boolean[] canBeCopy) {
    answeredBySuffix[attemptCount][replyCount] = true;
    for (int j = replyCount - 1; j >= 0; j--) {
      for (int i = 0; i <= attemptCount; i++) {
        boolean isAnswer = i < attemptCount && answeredBySuffix[i + 1][j + 1];
        boolean isCopy = canBeCopy[j] && answeredBySuffix[i][j + 1];
        answeredBySuffix[i][j] = isAnswer || isCopy;
      }
    }
  }

  /** Whether the replies can answer all attempts; if not, a reply is missing or out of order. */
  boolean isPossible() {
    return answeredByPrefix[attemptCount][replyCount];
  }

  /** Whether the reply at an index can be the answer to the attempt at an index. */
  boolean canAnswer(int reply, int attempt) {
    return answeredByPrefix[attempt][reply] && answeredBySuffix[attempt + 1][reply + 1];
  }
}
