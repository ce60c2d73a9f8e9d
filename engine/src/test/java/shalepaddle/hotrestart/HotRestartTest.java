package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.hotrestart.ProcessState.Stage;

/** What the two processes of a node learn of each other, and when. */
class HotRestartTest {
  @TempDir private Path folder;

  private final long now = System.currentTimeMillis();
  private final List<Reported> reported = new ArrayList<>();

  /** One call of the listener. */
  private record Reported(
      List<ServerExclusion> exclusions, int partners, int clients, int connections) {}

  private ProcessFiles files(long pid) {
    return new ProcessFiles(folder, pid, () -> now, alive -> true, line -> {});
  }

  private static ProcessState state(long pid, Stage stage, List<ServerExclusion> exclusions) {
    return new ProcessState(pid, stage, 12, 34, exclusions, null);
  }

  /**
   * A process that starts polls once more before its first request. If it learned of the exclusions
   * alone, it would assume to be the only one and open all connections that both may open together.
   */
  @Test
  void pollReportsPartnersConnectionsAndExclusionsTogether() {
    List<ServerExclusion> exclusions = List.of(new ServerExclusion(5, true, now));
    files(2).publish(state(2, Stage.READY, exclusions));
    try (HotRestart hotRestart =
        new HotRestart(
            files(1),
            () -> state(1, Stage.STARTING, List.of()),
            List::of,
            (theirs, partners, clients, servers) ->
                reported.add(new Reported(theirs, partners, clients, servers)))) {
      hotRestart.poll();
    }
    assertEquals(List.of(new Reported(exclusions, 1, 12, 34)), reported);
    assertEquals(1, files(2).readOthers().partners().size(), "it has not reported of itself");
  }
}
