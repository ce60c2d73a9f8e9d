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
 * The timeouts of a group, and the time scale of the Raft library, MicroRaft.
 *
 * <p>MicroRaft configures heartbeats in whole seconds, which is too long for nodes on one network.
 * Therefore one second of its clock, called a library second here, lasts {@value
 * #LIBRARY_SECOND_MILLIS} real milliseconds, for both its clock and its timers. The clock is
 * monotonic: changes of the system time have no effect on the group.
 */
public final class RaftTimeouts {
  /** The duration of one second of MicroRaft's clock, in real milliseconds. */
  public static final long LIBRARY_SECOND_MILLIS = 200;

  private static final long MILLIS_PER_SECOND = 1000;

  /** The leader's heartbeat interval, in seconds of MicroRaft's clock. */
  private static final int HEARTBEAT_PERIOD_LIBRARY_SECONDS = 1;

  /**
   * The time without a heartbeat after which the leader counts as lost, in seconds of MicroRaft's
   * clock.
   */
  private static final int LEADER_LOSS_TIMEOUT_LIBRARY_SECONDS = 4;

  /**
   * The time after which an undecided election is repeated, in milliseconds of MicroRaft's clock.
   */
  private static final int ELECTION_TIMEOUT_LIBRARY_MILLIS = 2000;

  /** The interval of status reports, in seconds of MicroRaft's clock. */
  private static final int REPORT_PERIOD_LIBRARY_SECONDS = 1;

  /** The maximum number of entries in one request to a follower. */
  private static final int MAX_BATCH_ENTRIES = 256;

  /** The maximum number of uncommitted entries; further proposals are rejected. */
  private static final int MAX_PENDING_ENTRIES = 4096;

  /** MicroRaft's clock starts one day after the epoch, since MicroRaft treats 0 as "never". */
  private static final long CLOCK_START_MILLIS = TimeUnit.DAYS.toMillis(1);

  private RaftTimeouts() {}

  static RaftConfig config(int entriesBetweenSnapshots) {
    return RaftConfig.newBuilder()
        .setLeaderHeartbeatPeriodSecs(HEARTBEAT_PERIOD_LIBRARY_SECONDS)
        .setLeaderHeartbeatTimeoutSecs(LEADER_LOSS_TIMEOUT_LIBRARY_SECONDS)
        .setLeaderElectionTimeoutMillis(ELECTION_TIMEOUT_LIBRARY_MILLIS)
        .setAppendEntriesRequestBatchSize(MAX_BATCH_ENTRIES)
        .setMaxPendingLogEntryCount(MAX_PENDING_ENTRIES)
        .setCommitCountToTakeSnapshot(entriesBetweenSnapshots)
        .setRaftNodeReportPublishPeriodSecs(REPORT_PERIOD_LIBRARY_SECONDS)
        .build();
  }

  /**
   * The time without a heartbeat after which the leader counts as lost, in real milliseconds, not
   * in those of MicroRaft's clock.
   */
  public static long leaderLossTimeoutMillis() {
    return LEADER_LOSS_TIMEOUT_LIBRARY_SECONDS * LIBRARY_SECOND_MILLIS;
  }

  /** MicroRaft's clock, derived from a monotonic clock in nanoseconds. */
  static Clock clock(LongSupplier nanoTime) {
    long startNanos = nanoTime.getAsLong();
    return new Clock() {
      @Override
      public long millis() {
        long elapsedRealMillis = (nanoTime.getAsLong() - startNanos) / 1_000_000;
        return CLOCK_START_MILLIS + elapsedRealMillis * MILLIS_PER_SECOND / LIBRARY_SECOND_MILLIS;
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

  /**
   * Runs MicroRaft's tasks on the member's thread. MicroRaft's delays are in the time of its clock,
   * and are converted to real time.
   */
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
