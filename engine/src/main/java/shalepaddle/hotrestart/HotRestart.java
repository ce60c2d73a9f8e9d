package shalepaddle.hotrestart;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import shalepaddle.hotrestart.ProcessFiles.Others;
import shalepaddle.model.Observation;

/**
 * Keeps the processes of one node told of each other, on a thread of its own: looks for news every
 * {@link #POLL_MILLIS}, and tells of this process when it has changed or some time has passed.
 */
public final class HotRestart implements AutoCloseable {
  static final long POLL_MILLIS = 50;

  /** Looks after which this process is told of anew though nothing has changed. */
  private static final int BEAT = 10;

  /** Looks between two times at which a process that starts is told what was seen here. */
  private static final int SEEN_EVERY = 5;

  /** Takes news of other processes in, on the handover's thread. */
  public interface Listener {
    /** What the others have told by now; the same may come again. */
    void onPartnersChanged(
        List<ServerExclusion> words, int partners, int clients, int serverConnections);
  }

  private final ProcessFiles files;
  private final Supplier<ProcessState> self;
  private final Supplier<List<Observation>> seen;
  private final Listener listener;
  private final ScheduledExecutorService thread =
      Executors.newSingleThreadScheduledExecutor(
          task -> {
            Thread made = new Thread(task, "handover");
            made.setDaemon(true);
            return made;
          });
  private ProcessState lastTold;
  private int looks;
  private int seenTold;

  /**
   * Not begun.
   *
   * @param self the newest state of this process, from any thread
   * @param seen what this process has seen lately, from any thread
   */
  public HotRestart(
      ProcessFiles files,
      Supplier<ProcessState> self,
      Supplier<List<Observation>> seen,
      Listener listener) {
    this.seen = seen;
    this.files = files;
    this.self = self;
    this.listener = listener;
  }

  /** Begins to look and to tell. */
  public void start() {
    thread.scheduleWithFixedDelay(this::poll, 0, POLL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Tells of this process, and the listener of the others, as of now. From any thread. */
  public synchronized void poll() {
    try {
      publish();
      Others others = files.readOthers();
      int clients = 0;
      int connections = 0;
      boolean starting = false;
      for (ProcessState partner : others.partners()) {
        clients += partner.clients();
        connections += partner.serverConnections();
        starting |= partner.stage() == ProcessState.Stage.STARTING;
      }
      listener.onPartnersChanged(
          others.exclusions(), others.partners().size(), clients, connections);
      if (starting && self.get().stage() == ProcessState.Stage.READY) {
        if (seenTold++ % SEEN_EVERY == 0) {
          files.publishObservations(seen.get());
        }
      } else {
        seenTold = 0;
      }
    } catch (RuntimeException e) {
      // Whatever fails here must not end the looking; the files complain for themselves.
    }
  }

  /** Tells of this process now, where it has changed; returns when it is told or has failed. */
  public synchronized void publish() {
    ProcessState state = self.get();
    if (!state.equals(lastTold) || ++looks >= BEAT) {
      looks = 0;
      lastTold = state;
      files.publish(state);
    }
  }

  /** Whether another process of this node is there for clients, as of now. */
  public boolean isSuccessorReady() {
    return files.readOthers().partners().stream()
        .anyMatch(partner -> partner.stage() == ProcessState.Stage.READY);
  }

  @Override
  public void close() {
    thread.shutdownNow();
  }
}
