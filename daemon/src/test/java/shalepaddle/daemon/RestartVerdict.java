package shalepaddle.daemon;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Judges a restart by the records of clients and servers. A request may be lost only if the node
 * was held up at the kill, and if it was sent while the node had run for no longer than it may take
 * requests after SIGTERM.
 */
final class RestartVerdict {
  /** How long a node has to run before the kill in order to answer all that it has taken. */
  private static final long MIN_RUNNING_BEFORE_KILL_MILLIS = 300;

  /** By the protocol, an answer that comes later than this after the deadline is lost. */
  private static final long MAX_LATENESS_MILLIS = 500;

  /** A hold that is shorter excuses no answer that is late by {@link #MAX_LATENESS_MILLIS}. */
  private static final long MIN_EXCUSING_HOLD_MILLIS = 300;

  private final RestartTestbed testbed;
  private final PausableNode node;
  private final Holds holds;
  private int sentAfterSigterm;
  private int served;
  private int excusedAtKill;
  private int excusedLate;
  private int sentAgain;

  RestartVerdict(RestartTestbed testbed, PausableNode node, Holds holds) {
    this.testbed = testbed;
    this.node = node;
    this.holds = holds;
  }

  List<String> violations(List<RestartClient.Sent> requests) {
    List<String> violations = new ArrayList<>();
    for (RestartClient.Sent request : requests) {
      if (request.ending() != RestartClient.Ending.NOT_CONNECTED) {
        count(request);
        judge(request, violations);
      }
    }
    if (testbed.wasKilled() && heldMillis(testbed.terminatedNanos(), testbed.killedNanos()) == 0) {
      violations.add("the node was never held up and did not end by itself");
    }
    return violations;
  }

  private void count(RestartClient.Sent request) {
    if (request.sentNanos() - testbed.terminatedNanos() >= 0) {
      sentAfterSigterm++;
      served += request.ending() == RestartClient.Ending.SERVED ? 1 : 0;
    }
  }

  private void judge(RestartClient.Sent request, List<String> violations) {
    if (request.isWrite() && testbed.fleet().writeExecutions(request.id()) > 1) {
      violations.add("ran twice: " + testbed.describe(request));
    }
    if (request.ending() == RestartClient.Ending.NO_ANSWER && isExcusedLate(request)) {
      excusedLate++;
    } else if (testbed.isLost(request, node.address())) {
      if (isExcusedAtKill(request)) {
        excusedAtKill++;
      } else {
        violations.add("lost: " + testbed.describe(request));
      }
    } else if (request.ending() == RestartClient.Ending.CONNECTION_ENDED) {
      sentAgain++;
    }
  }

  private boolean isExcusedLate(RestartClient.Sent request) {
    long toNanos =
        request.sentNanos()
            + TimeUnit.MILLISECONDS.toNanos(request.deadlineMillis() + MAX_LATENESS_MILLIS);
    return heldMillis(request.sentNanos(), toNanos) >= MIN_EXCUSING_HOLD_MILLIS
        && isSentInTime(request);
  }

  private boolean isExcusedAtKill(RestartClient.Sent request) {
    long killedNanos = testbed.killedNanos();
    long beforeKillNanos =
        killedNanos - TimeUnit.MILLISECONDS.toNanos(MIN_RUNNING_BEFORE_KILL_MILLIS);
    return testbed.wasKilled()
        && heldMillis(beforeKillNanos, killedNanos) > 0
        && isSentInTime(request);
  }

  /** Whether the node had not run for longer than it may take requests after SIGTERM. */
  private boolean isSentInTime(RestartClient.Sent request) {
    long ranMillis =
        testbed.millisAfterSigterm(request.sentNanos())
            - heldMillis(testbed.terminatedNanos(), request.sentNanos());
    return ranMillis <= RestartTestbed.MAX_TAKING_MILLIS;
  }

  private long heldMillis(long fromNanos, long toNanos) {
    return TimeUnit.NANOSECONDS.toMillis(holds.heldNanos(fromNanos, toNanos));
  }

  String summary() {
    return "%d sent after SIGTERM, %d served, %d lost at the kill, %d late by a hold, %d sent again"
        .formatted(sentAfterSigterm, served, excusedAtKill, excusedLate, sentAgain);
  }
}
