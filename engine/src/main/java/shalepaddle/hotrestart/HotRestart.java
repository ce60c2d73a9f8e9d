package shalepaddle.hotrestart;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import shalepaddle.hotrestart.ProcessFiles.Others;
import shalepaddle.model.Observation;

/**
 * Exchanges state between the processes of one node while one replaces the other: reads the others'
 * files every {@link #POLL_MILLIS}, and publishes this process's state when it has changed or some
 * time has passed. Thread-safe; polls on a thread of its own from {@link #start} until {@link
 * #close}.
 */
public final class HotRestart implements AutoCloseable {
  /** From the end of one poll to the begin of the next. */
  static final long POLL_MILLIS = 50;

  /** Polls after which an unchanged state is published again, as a heartbeat: about 0.5 s. */
  private static final int HEARTBEAT_POLLS = 10;

  /** Polls between publications of observations while another process starts: about 0.25 s. */
  private static final int OBSERVATIONS_POLLS = 5;

  /** Receives the state of the other processes, on the thread that polls. */
  public interface Listener {
    /**
     * After each poll, also where nothing has changed.
     *
     * @param exclusions those that the others know
     * @param partners how many other processes live
     * @param clients client connections that they hold
     * @param serverConnections connections to cache servers that they hold
     */
    void onPartnersChanged(
        List<ServerExclusion> exclusions, int partners, int clients, int serverConnections);
  }

  private final ProcessFiles files;
  private final Supplier<ProcessState> self;
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
  private int pollsWithStartingPartner;

  /**
   * Polls nothing yet.
   *
   * @param self the newest state of this process, from any thread
   * @param observations what this process has observed lately, from any thread
   */
  public HotRestart(
      ProcessFiles files,
      Supplier<ProcessState> self,
      Supplier<List<Observation>> observations,
      Listener listener) {
    this.observations = observations;
    this.files = files;
    this.self = self;
    this.listener = listener;
  }

  /** Begins to poll and to publish. */
  public void start() {
    poller.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Publishes this process's state and passes that of the others to the listener, as of now. */
  public synchronized void poll() {
    try {
      publish();
      Others others = files.readOthers();
      int clients = 0;
      int connections = 0;
      boolean hasStartingPartner = false;
      for (ProcessState partner : others.partners()) {
        clients += partner.clients();
        connections += partner.serverConnections();
        hasStartingPartner |= partner.stage() == ProcessState.Stage.STARTING;
      }
      listener.onPartnersChanged(
          others.exclusions(), others.partners().size(), clients, connections);
      if (hasStartingPartner && self.get().stage() == ProcessState.Stage.READY) {
        if (pollsWithStartingPartner++ % OBSERVATIONS_POLLS == 0) {
          files.publishObservations(observations.get());
        }
      } else {
        pollsWithStartingPartner = 0;
      }
    } catch (RuntimeException e) {
      // A failure must not end the polling; the files log their own.
    }
  }

  /** Publishes this process's state if it has changed; returns when it is published or failed. */
  public synchronized void publish() {
    ProcessState state = self.get();
    if (!state.equals(lastPublished) || ++pollsSincePublished >= HEARTBEAT_POLLS) {
      pollsSincePublished = 0;
      lastPublished = state;
      files.publish(state);
    }
  }

  /** Whether another process of this node is ready for clients, as of now. */
  public boolean isSuccessorReady() {
    return files.readOthers().partners().stream()
        .anyMatch(partner -> partner.stage() == ProcessState.Stage.READY);
  }

  @Override
  public void close() {
    poller.shutdownNow();
  }
}
