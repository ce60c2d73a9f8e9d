package shalepaddle.node;

import shalepaddle.admin.Telemetry;
import shalepaddle.coalescing.CoalescingSnapshot;
import shalepaddle.engine.Dispatcher;
import shalepaddle.engine.MemoryBudget;
import shalepaddle.front.ClientFront;
import shalepaddle.hotrestart.ProcessState;
import shalepaddle.overload.OverloadControl;
import shalepaddle.overload.OverloadSnapshot;
import shalepaddle.upstream.ServerPools;

/**
 * Publishes the event loop's state to other threads as immutable snapshots: the admin server, the
 * other processes of this node, and the meters of an embedding program. The event loop writes; the
 * accessors may be called from any thread and return what was published last.
 */
final class SnapshotPublisher {
  private final long pid = ProcessHandle.current().pid();
  private final Dispatcher dispatcher;
  private final OverloadControl overloadControl;
  private final ClientFront front;
  private final ServerPools pools;
  private final OperatorExclusions exclusions;
  private final MemberTracker members;
  private final MemoryBudget memory;

  private long reloadsApplied;
  private long reloadsRejected;

  private volatile ProcessState.Stage stage = ProcessState.Stage.STARTING;
  private volatile OverloadSnapshot overloadSnapshot;
  private volatile CoalescingSnapshot coalescingSnapshot;
  private volatile Telemetry telemetry;
  private volatile ProcessState processState;

  SnapshotPublisher(
      Dispatcher dispatcher,
      OverloadControl overloadControl,
      ClientFront front,
      ServerPools pools,
      OperatorExclusions exclusions,
      MemberTracker members,
      MemoryBudget memory) {
    this.memory = memory;
    this.dispatcher = dispatcher;
    this.overloadControl = overloadControl;
    this.front = front;
    this.pools = pools;
    this.exclusions = exclusions;
    this.members = members;
    publishMetrics();
  }

  /** Publishes all snapshots. Called on the event loop only. */
  void publishMetrics() {
    overloadSnapshot = overloadControl.snapshot();
    coalescingSnapshot = dispatcher.coalescingSnapshot();
    publishState();
  }

  /**
   * Publishes telemetry and the process's state, but no metrics of overload and coalescing. Called
   * on the event loop only.
   */
  void publishState() {
    telemetry =
        new Telemetry(
            dispatcher.metrics().snapshot(),
            dispatcher.recorder().counts(),
            dispatcher.serverCount(false),
            dispatcher.serverCount(true),
            memory.reservedBytes(),
            reloadsApplied,
            reloadsRejected);
    processState =
        new ProcessState(
            pid,
            stage,
            front.connectionCount(),
            pools.connectionCount(),
            exclusions.latestRecords(),
            members.currentList());
  }

  /**
   * Enters a stage, which other processes see at the next publication. Called on the event loop
   * only.
   */
  void enterStage(ProcessState.Stage newStage) {
    stage = newStage;
  }

  /** Counts an applied configuration, and publishes the count. Called on the event loop only. */
  void countReloadApplied() {
    reloadsApplied++;
    publishState();
  }

  /** Counts a rejected configuration, and publishes the count. Called on the event loop only. */
  void countReloadRejected() {
    reloadsRejected++;
    publishState();
  }

  boolean isReady() {
    return stage == ProcessState.Stage.READY;
  }

  OverloadSnapshot overloadSnapshot() {
    return overloadSnapshot;
  }

  CoalescingSnapshot coalescingSnapshot() {
    return coalescingSnapshot;
  }

  Telemetry telemetry() {
    return telemetry;
  }

  ProcessState processState() {
    return processState;
  }
}
