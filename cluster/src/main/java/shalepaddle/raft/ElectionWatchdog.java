package shalepaddle.raft;

import io.microraft.RaftNode;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.report.RaftTerm;
import java.util.concurrent.TimeUnit;
import shalepaddle.encoding.LogEntryCodec;

/**
 * Detects and resolves two stalls in the elections of MicroRaft 0.7, in which nobody leads though a
 * majority is in contact.
 *
 * <p>Thread-safe: messages come and go on any thread.
 */
final class ElectionWatchdog {
  /**
   * A follower that for so many real nanoseconds neither hears from a leader nor asks for votes is
   * taken for stalled.
   */
  static final long STALL_NANOS =
      TimeUnit.MILLISECONDS.toNanos(3 * RaftTimeouts.leaderLossTimeoutMillis());

  private volatile long lastLeaderMessageNanos;
  private volatile long lastVoteRequestNanos;

  /** The library was started now. */
  void restarted(long now) {
    lastLeaderMessageNanos = now;
    lastVoteRequestNanos = now;
  }

  /** A message came that only a leader sends. */
  void leaderMessageReceived(long now) {
    lastLeaderMessageNanos = now;
  }

  /** This member asks for a vote or a pre-vote. */
  void voteRequestSent(long now) {
    lastVoteRequestNanos = now;
  }

  /**
   * Whether the library is to be restarted from the log store. A follower that hears from a leader
   * while its own pre-vote is under way keeps the state of that pre-vote, and later asks for no
   * votes once that leader is lost. A restart clears it, as a restart of the process would.
   */
  boolean isStalled(long now, MemberStatus status) {
    return status.role() == MemberRole.FOLLOWER
        && status.isActive()
        && now - lastLeaderMessageNanos > STALL_NANOS
        && now - lastVoteRequestNanos > STALL_NANOS;
  }

  /**
   * Adopts a later term that came with a rejected pre-vote, which the library ignores: where one of
   * two members has the longer log and the other the later term, each rejects the other's pre-vote
   * for good. The term is passed in as a vote request with an empty log, which is never granted. A
   * term that is one later may be that of this member's own request.
   *
   * <p>On the member's thread.
   */
  static void adoptTerm(RaftNode node, String group, PreVoteResponse rejection) {
    RaftTerm current = node.getTerm();
    if (current.getLeaderEndpoint() == null && rejection.getTerm() > current.getTerm() + 1) {
      node.handle(
          LogEntryCodec.model()
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
