package shalepaddle.raft;

import io.microraft.RaftConfig;
import io.microraft.executor.RaftNodeExecutor;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * How fast a group's time runs. The library counts heartbeats in whole seconds, which is long for
 * nodes beside each other: so its second lasts {@value #LIBRARY_SECOND_MILLIS} ms here, for its
 * clock and its timers alike. The clock is monotonic: a machine whose time of day jumps by hours
 * changes nothing for the group.
 */
public final class RaftTimeouts {
  /** Real milliseconds of one of the library's seconds. */
  public static final long LIBRARY_SECOND_MILLIS = 200;

  /** Beats of the leader, in the library's seconds. */
  private static final int BEAT = 1;

  /** Without a beat for so long a leader is taken for lost, in the library's seconds. */
  private static final int LOST = 4;

  /** An election that has not ended by then begins anew, in the library's milliseconds. */
  private static final int ELECTION_MILLIS = 2000;

  /** Entries in one message to a follower at most. */
  private static final int BATCH = 256;

  /** Entries that wait for the majority at most; what comes then is turned down at once. */
  private static final int PENDING = 4096;

  private RaftTimeouts() {}

  static RaftConfig config(int snapshotEvery) {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(BEAT)
        .setLeaderHeartbeatTimeoutSecs(LOST)
        .setLeaderElectionTimeoutMillis(ELECTION_MILLIS)
        .setAppendEntriesRequestBatchSize(BATCH)
        .setMaxPendingLogEntryCount(PENDING)
        .setCommitCountToTakeSnapshot(snapshotEvery)
        .setRaftNodeReportPublishPeriodSecs(1)
        .build();
  }

  /** Real milliseconds for which a leader that was lost may go unnoticed. */
  public static long leaderLossTimeoutMillis() {
    return LOST * LIBRARY_SECOND_MILLIS;
  }

  /** The library's clock, made of monotonic nanoseconds. */
  static Clock clock(LongSupplier nanos) {
    long began = nanos.getAsLong();
    return new Clock() {
      @Override
      public long millis() {
        // From a day on: the library takes 0 for never.
        return 86_400_000L + (nanos.getAsLong() - began) / 1_000_000 * 1000 / LIBRARY_SECOND_MILLIS;
      }

      @Override
      public Instant instant() {
        return Instant.ofEpochMilli(millis());
      }

      @Override
      public ZoneId getZone() {
        return ZoneOffset.UTC;
      }

      @Override
      public Clock withZone(ZoneId zone) {
        return this;
      }
    };
  }

  /** The member's thread, with the library's timers. */
  static RaftNodeExecutor executor(MemberExecutor turns) {
    return new RaftNodeExecutor() {
      @Override
      public void execute(Runnable task) {
        turns.execute(task);
      }

      @Override
      public void submit(Runnable task) {
        turns.execute(task);
      }

      @Override
      public void schedule(Runnable task, long delay, TimeUnit unit) {
        turns.schedule(unit.toNanos(delay) / 1000 * LIBRARY_SECOND_MILLIS, task);
      }
    };
  }
}
