package shalepaddle.hotrestart;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import shalepaddle.hotrestart.ProcessFiles.OtherProcesses;
import shalepaddle.model.Observation;

/**
 * Exchanges state between the processes of one node while one replaces the other: reads the files
 * of the other processes every {@link #POLL_INTERVAL_MILLIS}, and publishes this process's state on
 * changes and periodically. Thread-safe; polls on a separate thread from {@link #start} until
 * {@link #close}.
 */
public final class HotRestart implements AutoCloseable {
  /** The time from the end of one poll to the start of the next. */
  static final long POLL_INTERVAL_MILLIS = 50;

  /**
   * The number of polls after which an unchanged state is published as a heartbeat, about 0.5 s.
   */
  private static final int HEARTBEAT_POLLS = 10;

  /**
   * The number of polls between publications of observations to a starting process, about 0.25 s.
   */
  private static final int OBSERVATIONS_POLLS = 5;

  /** Receives the state of the other processes, on the polling thread. */
  public interface Listener {
    /**
     * Receives what the other processes have published, after each poll, even if nothing has
     * changed.
     *
     * @param exclusions the exclusions that the other processes know
     * @param processCount the number of other live processes
     * @param clientConnections the total number of client connections of those processes
     * @param serverConnections the total number of connections of those processes to cache servers
     */
    void onPoll(
        List<ServerExclusion> exclusions,
        int processCount,
        int clientConnections,
        int serverConnections);
  }

  private final ProcessFiles files;
  private final Supplier<ProcessState> ownState;
  private final Supplier<List<Observation>> observations;
  private final Listener listener;
  private final ScheduledExecutorService poller =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread thread = new Thread(task, "hot-restart");
            thread.setDaemon(true);
            return thread;
          });
  private ProcessState lastPublished;
  private int pollsSincePublished;
  private int pollsWhileOtherStarts;

  /**
   * Creates an instance; polling begins with {@link #start}.
   *
   * @param files the files shared with the other processes
   * @param ownState returns the newest state of this process; called from any thread
   * @param observations returns this process's latest observations; called from any thread
   * @param listener receives the state of the other processes
   */
  public HotRestart(
      ProcessFiles files,
      Supplier<ProcessState> ownState,
      Supplier<List<Observation>> observations,
      Listener listener) {
    this.observations = observations;
    this.files = files;
    this.ownState = ownState;
    this.listener = listener;
  }

  /** Starts polling and publishing. */
  public void start() {
    poller.scheduleWithFixedDelay(this::poll, 0, POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Publishes this process's state, and passes the states of the others to the listener. */
  public synchronized void poll() {
    try {
      publish();
      OtherProcesses otherProcesses = files.readOthers();
      int clientConnections = 0;
      int serverConnections = 0;
      boolean isOtherStarting = false;
      for (ProcessState other : otherProcesses.liveProcesses()) {
        clientConnections += other.clientConnections();
        serverConnections += other.serverConnections();
        isOtherStarting |= other.stage() == ProcessState.Stage.STARTING;
      }
      listener.onPoll(
          otherProcesses.exclusions(),
          otherProcesses.liveProcesses().size(),
          clientConnections,
          serverConnections);
      if (isOtherStarting && ownState.get().stage() == ProcessState.Stage.READY) {
        if (pollsWhileOtherStarts++ % OBSERVATIONS_POLLS == 0) {
          files.publishObservations(observations.get());
        }
      } else {
        pollsWhileOtherStarts = 0;
      }
    } catch (RuntimeException e) {
      // A failure must not end the polling; ProcessFiles logs its own failures.
    }
  }

  /**
   * Publishes this process's state if it has changed or a heartbeat is due. Returns when the
   * publication has completed or failed.
   */
  public synchronized void publish() {
    ProcessState state = ownState.get();
    if (!state.equals(lastPublished) || ++pollsSincePublished >= HEARTBEAT_POLLS) {
      pollsSincePublished = 0;
      lastPublished = state;
      files.publish(state);
    }
  }

  /** Whether another process of this node is currently ready for clients. */
  public boolean isSuccessorReady() {
    return files.readOthers().liveProcesses().stream()
        .anyMatch(other -> other.stage() == ProcessState.Stage.READY);
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
