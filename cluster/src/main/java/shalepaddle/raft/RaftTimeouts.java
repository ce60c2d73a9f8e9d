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
 * The timeouts of a group, and the scale of the library's time.
 *
 * <p>The library counts heartbeats in whole seconds, which is long for nodes on one network. So one
 * of its seconds lasts {@value #LIBRARY_SECOND_MILLIS} ms here, for its clock and its timers alike.
 * The clock is monotonic: changes of the time of day have no effect on the group.
 */
public final class RaftTimeouts {
  /** Real milliseconds of one of the library's seconds. */
  public static final long LIBRARY_SECOND_MILLIS = 200;

  private static final long MILLIS_PER_SECOND = 1000;

  /** Between two heartbeats of the leader, in the library's seconds. */
  private static final int HEARTBEAT_PERIOD_LIBRARY_SECONDS = 1;

  /** The time without a heartbeat after which a leader is lost, in the library's seconds. */
  private static final int LEADER_LOSS_LIBRARY_SECONDS = 4;

  /** The time after which an undecided election is repeated, in the library's milliseconds. */
  private static final int ELECTION_LIBRARY_MILLIS = 2000;

  /** Between two status reports, in the library's seconds. */
  private static final int REPORT_PERIOD_LIBRARY_SECONDS = 1;

  /** Entries in one request to a follower at most. */
  private static final int MAX_BATCH_ENTRIES = 256;

  /** Uncommitted entries at most; further proposals are rejected. */
  private static final int MAX_PENDING_ENTRIES = 4096;

  /** The library's clock starts a day after the epoch, since it takes 0 for never. */
  private static final long CLOCK_START_MILLIS = TimeUnit.DAYS.toMillis(1);

  private RaftTimeouts() {}

  static RaftConfig config(int entriesBetweenSnapshots) {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_LIBRARY_SECONDS)
        .setLeaderHeartbeatTimeoutSecs(LEADER_LOSS_LIBRARY_SECONDS)
        .setLeaderElectionTimeoutMillis(ELECTION_LIBRARY_MILLIS)
        .setAppendEntriesRequestBatchSize(MAX_BATCH_ENTRIES)
        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
        .setCommitCountToTakeSnapshot(entriesBetweenSnapshots)
        .setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_LIBRARY_SECONDS)
        .build();
  }

  /** Real milliseconds for which the loss of a leader may go unnoticed. */
  public static long leaderLossTimeoutMillis() {
    return LEADER_LOSS_LIBRARY_SECONDS * LIBRARY_SECOND_MILLIS;
  }

  /** The library's clock, driven by monotonic nanoseconds. */
  static Clock clock(LongSupplier nanoTime) {
    long startNanos = nanoTime.getAsLong();
    return new Clock() {
      @Override
      public long millis() {
        long realMillis = (nanoTime.getAsLong() - startNanos) / 1_000_000;
        return CLOCK_START_MILLIS + realMillis * MILLIS_PER_SECOND / LIBRARY_SECOND_MILLIS;
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

  /** The member's thread, with delays on the library's scale. */
  static RaftNodeExecutor executor(MemberExecutor executor) {
    return new RaftNodeExecutor() {
      @Override
      public void execute(Runnable task) {
        executor.execute(task);
      }

      @Override
      public void submit(Runnable task) {
        executor.execute(task);
      }

      @Override
      public void schedule(Runnable task, long delay, TimeUnit unit) {
        executor.schedule(unit.toNanos(delay) / MILLIS_PER_SECOND * LIBRARY_SECOND_MILLIS, task);
      }
    };
  }
}
