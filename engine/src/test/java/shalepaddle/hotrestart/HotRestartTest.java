package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.hotrestart.ProcessState.Stage;

/** What the two processes of a node hear of each other, and when. */
class HotRestartTest {
  @TempDir private Path folder;

  private final long now = System.currentTimeMillis();
  private final List<Told> told = new ArrayList<>();

  /** One call of the listener. */
  private record Told(List<ServerExclusion> words, int partners, int clients, int connections) {}

  private ProcessFiles files(long pid) {
    return new ProcessFiles(folder, pid, () -> now, alive -> true, line -> {});
  }

  private static ProcessState state(long pid, Stage stage, List<ServerExclusion> words) {
    return new ProcessState(pid, stage, 12, 34, words, null);
  }

  /**
   * A process that starts looks once more before its first request. Told of the words alone, it
   * would take itself for the only one, and open all connections that both may have together.
   */
  @Test
  void aLookTellsOfPartnersTheirConnectionsAndTheirWordsTogether() {
    List<ServerExclusion> words = List.of(new ServerExclusion(5, true, now));
    files(2).publish(state(2, Stage.READY, words));
    try (HotRestart handover =
        new HotRestart(
            files(1),
            () -> state(1, Stage.STARTING, List.of()),
            List::of,
            (theirs, partners, clients, servers) ->
                told.add(new Told(theirs, partners, clients, servers)))) {
      handover.poll();
    }
    assertEquals(List.of(new Told(words, 1, 12, 34)), told);
    assertEquals(1, files(2).readOthers().partners().size(), "it has not told of itself");
  }
}
