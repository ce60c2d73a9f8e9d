package shalepaddle.raft;

import io.microraft.RaftNode;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.report.RaftTerm;
import java.util.concurrent.TimeUnit;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Detects and resolves two stalls in the elections of MicroRaft 0.7, in which no leader is elected
 * although a majority of the members is connected.
 *
 * <p>Thread-safe: messages are sent and received on any thread.
 */
final class ElectionWatchdog {
  /**
   * The time after which a follower is considered stalled if it has neither heard from a leader nor
   * requested votes. In nanoseconds of real time, not of MicroRaft's clock.
   */
  static final long STALL_TIMEOUT_NANOS =
      TimeUnit.MILLISECONDS.toNanos(3 * RaftTimeouts.leaderLossTimeoutMillis());

  private volatile long lastLeaderMessageNanos;
  private volatile long lastVoteRequestNanos;

  /** Records that MicroRaft was started or restarted: the stall timeout starts again. */
  void libraryStarted(long nowNanos) {
    lastLeaderMessageNanos = nowNanos;
    lastVoteRequestNanos = nowNanos;
  }

  /** Records that a message was received which only a leader sends. */
  void leaderMessageReceived(long nowNanos) {
    lastLeaderMessageNanos = nowNanos;
  }

  /** Records that this member requests a vote or a pre-vote. */
  void voteRequestSent(long nowNanos) {
    lastVoteRequestNanos = nowNanos;
  }

  /**
   * Whether MicroRaft must be restarted from the log store. A follower that hears from a leader
   * during its own pre-vote keeps the state of that pre-vote, and therefore requests no votes when
   * that leader is lost later. A restart clears this state, as a restart of the process would.
   */
  boolean isStalled(long nowNanos, MemberStatus status) {
    return status.role() == MemberRole.FOLLOWER
        && status.isActive()
        && nowNanos - lastLeaderMessageNanos > STALL_TIMEOUT_NANOS
        && nowNanos - lastVoteRequestNanos > STALL_TIMEOUT_NANOS;
  }

  /**
   * Adopts a later term from the rejection of a pre-vote, which MicroRaft ignores. Without this, if
   * one of two members has the longer log and the other the later term, each rejects the other's
   * pre-votes forever. The term is passed to MicroRaft as a vote request with an empty log, which
   * is never granted. A term that is only one later is ignored, since it may be the term of this
   * member's own request.
   *
   * <p>Must be called on the member's thread.
   */
  static void adoptTerm(RaftNode node, String group, PreVoteResponse rejection) {
    RaftTerm currentTerm = node.getTerm();
    if (currentTerm.getLeaderEndpoint() == null
        && rejection.getTerm() > currentTerm.getTerm() + 1) {
      node.handle(
          LogEntryCodec.modelFactory()
              .createVoteRequestBuilder()
              .setGroupId(group)
              .setSender(rejection.getSender())
              .setTerm(rejection.getTerm())
              .setLastLogTerm(0)
              .setLastLogIndex(0)
              .setSticky(false)
              .build());
    }
  }
}
