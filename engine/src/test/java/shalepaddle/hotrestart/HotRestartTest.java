package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.hotrestart.ProcessState.Stage;

/** The state that the processes of one node exchange. */
class HotRestartTest {
  @TempDir private Path folder;

  private final long now = System.currentTimeMillis();
  private final List<ListenerCall> listenerCalls = new ArrayList<>();

  private record ListenerCall(
      List<ServerExclusion> exclusions,
      int processCount,
      int clientConnections,
      int serverConnections) {}

  private ProcessFiles filesOf(long pid) {
    return new ProcessFiles(folder, pid, () -> now, process -> true, line -> {});
  }

  private static ProcessState state(long pid, Stage stage, List<ServerExclusion> exclusions) {
    return new ProcessState(pid, stage, 12, 34, exclusions, null);
  }

  /**
   * A starting process polls once more before its first request. If that poll reported only the
   * exclusions, the process would assume that it is the only process, and open all the connections
   * that both processes may open together.
   */
  @Test
  void pollReportsExclusionsProcessCountAndConnections() {
    List<ServerExclusion> exclusions = List.of(new ServerExclusion(5, true, now));
    filesOf(2).publish(state(2, Stage.READY, exclusions));
    try (HotRestart hotRestart =
        new HotRestart(
            filesOf(1),
            () -> state(1, Stage.STARTING, List.of()),
            List::of,
            (otherExclusions, processCount, clientConnections, serverConnections) ->
                listenerCalls.add(
                    new ListenerCall(
                        otherExclusions, processCount, clientConnections, serverConnections)))) {
      hotRestart.poll();
    }
    assertEquals(List.of(new ListenerCall(exclusions, 1, 12, 34)), listenerCalls);
    assertEquals(
        1,
        filesOf(2).readOthers().liveProcesses().size(),
        "poll() must publish this process's state");
  }
}
