package shalepaddle.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ReplyAssignmentTest {
  private static final long SEED = 65;

  @Test
  void assignsByOrderWhenThereIsOneReplyForEachAttempt() {
    ReplyAssignment assignment = new ReplyAssignment(2, new boolean[] {true, false});
    assertTrue(assignment.isPossible());
    assertTrue(assignment.canAnswer(0, 0));
    assertFalse(assignment.canAnswer(1, 0));
    assertTrue(assignment.canAnswer(1, 1));
  }

  @Test
  void replyThatCanBeCopyMayAnswerOrNotWhenThereIsOneTooMany() {
    ReplyAssignment assignment = new ReplyAssignment(1, new boolean[] {true, true});
    assertTrue(assignment.canAnswer(0, 0));
    assertTrue(assignment.canAnswer(1, 0));
  }

  @Test
  void replyThatIsNoCopyAnswersTheAttempt() {
    ReplyAssignment assignment = new ReplyAssignment(1, new boolean[] {true, false, true});
    assertFalse(assignment.canAnswer(0, 0));
    assertTrue(assignment.canAnswer(1, 0));
    assertFalse(assignment.canAnswer(2, 0));
  }

  @Test
  void nothingIsPossibleWhenReplyIsMissingOrAnswersNothing() {
    assertFalse(new ReplyAssignment(2, new boolean[] {true}).isPossible());
    assertFalse(new ReplyAssignment(1, new boolean[] {false, false}).isPossible());
  }

  @Test
  void agreesWithEnumerationOfAllAssignments() {
    SplittableRandom random = new SplittableRandom(SEED);
    for (int run = 0; run < 2000; run++) {
      int attempts = random.nextInt(5);
      boolean[] canBeCopy = new boolean[random.nextInt(8)];
      for (int i = 0; i < canBeCopy.length; i++) {
        canBeCopy[i] = random.nextBoolean();
      }
      Set<String> expectedPairs = new HashSet<>();
      boolean isPossible = enumerate(0, 0, attempts, canBeCopy, new int[attempts], expectedPairs);
      ReplyAssignment assignment = new ReplyAssignment(attempts, canBeCopy);
      assertEquals(isPossible, assignment.isPossible());
      assertEquals(expectedPairs, pairs(assignment, attempts, canBeCopy.length));
    }
  }

  private static Set<String> pairs(ReplyAssignment assignment, int attempts, int replies) {
    Set<String> pairs = new HashSet<>();
    for (int attempt = 0; attempt < attempts; attempt++) {
      for (int reply = 0; reply < replies; reply++) {
        if (assignment.canAnswer(reply, attempt)) {
          pairs.add(attempt + "<-" + reply);
        }
      }
    }
    return pairs;
  }

  /** Tries each reply as the next answer and as a copy; collects the pairs of whole assignments. */
  private static boolean enumerate(
      int reply, int attempt, int attempts, boolean[] canBeCopy, int[] answers, Set<String> pairs) {
    if (reply == canBeCopy.length) {
      if (attempt != attempts) {
        return false;
      }
      for (int i = 0; i < attempts; i++) {
        pairs.add(i + "<-" + answers[i]);
      }
      return true;
    }
    boolean isPossible = false;
    if (attempt < attempts) {
      answers[attempt] = reply;
      isPossible = enumerate(reply + 1, attempt + 1, attempts, canBeCopy, answers, pairs);
    }
    if (canBeCopy[reply]) {
      isPossible |= enumerate(reply + 1, attempt, attempts, canBeCopy, answers, pairs);
    }
    return isPossible;
  }
}
