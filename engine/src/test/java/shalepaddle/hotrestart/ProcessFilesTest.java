package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.membership.MemberList;
import shalepaddle.model.ServerEntry;
import shalepaddle.settings.FormatException;

/** What one process of a node reads from the others' files. */
class ProcessFilesTest {
  @TempDir private Path folder;

  private final Set<Long> alive = new HashSet<>(Set.of(1L, 2L, 3L));
  private final List<String> log = new ArrayList<>();
  private long now = System.currentTimeMillis();

  private ProcessFiles of(long pid) {
    return new ProcessFiles(folder, pid, () -> now, alive::contains, log::add);
  }

  private static ProcessState state(
      long pid, ProcessState.Stage stage, ServerExclusion... exclusions) throws FormatException {
    MemberList list =
        new MemberList(
            true,
            7,
            List.of(
                new MemberList.Member(
                    new ServerEntry(
                        Long.MIN_VALUE, "a \"b\"", "m", 3, ServerEntry.State.DRAINING, 1.5, 17.25),
                    MemberList.parseAddress("127.0.0.1:11211"))));
    return new ProcessState(pid, stage, 12, 34, List.of(exclusions), list);
  }

  @Test
  void readsPublishedState() throws Exception {
    ProcessState published =
        state(2, ProcessState.Stage.READY, new ServerExclusion(Long.MAX_VALUE, true, now));
    assertTrue(of(2).publish(published));
    assertEquals(List.of(published), of(1).readOthers().partners());
    assertEquals(List.of(), of(2).readOthers().partners(), "not of itself");
    assertEquals(published.list(), of(1).readOthers().newestMemberList());
    assertNull(of(2).readOthers().newestMemberList());
  }

  @Test
  void rejectsFileThatIsTruncatedOrChangedAnywhere() throws Exception {
    byte[] whole =
        StateFormat.write(state(2, ProcessState.Stage.READY, new ServerExclusion(5, true, 9)));
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(FormatException.class, () -> StateFormat.read(cut));
      byte[] changed = whole.clone();
      changed[length] ^= 1;
      assertThrows(FormatException.class, () -> StateFormat.read(changed));
    }
    Files.write(
        folder.resolve("shalepaddle-2.process"),
        "shalepaddle-process-9 0 0\n".getBytes(StandardCharsets.US_ASCII));
    Files.write(folder.resolve("shalepaddle-3.process"), new byte[2 << 20]);
    ProcessFiles own = of(1);
    for (int i = 0; i < 100; i++) {
      assertEquals(List.of(), own.readOthers().partners());
    }
    assertEquals(2, log.size(), "each is logged once: " + log);
  }

  @Test
  void countsOnlyExclusionsOfSilentOrEndedProcess() throws Exception {
    ServerExclusion exclusion = new ServerExclusion(5, true, now);
    of(2).publish(state(2, ProcessState.Stage.READY, exclusion));
    Path file = folder.resolve("shalepaddle-2.process");
    Files.setLastModifiedTime(file, FileTime.fromMillis(now - ProcessFiles.SILENT_MILLIS));
    assertEquals(List.of(), of(1).readOthers().partners());
    assertEquals(List.of(exclusion), of(1).readOthers().exclusions());
    alive.remove(2L);
    assertEquals(List.of(exclusion), of(1).readOthers().exclusions());
    now += 3 * ProcessFiles.SILENT_MILLIS;
    assertEquals(List.of(exclusion), of(1).readOthers().exclusions());
    assertFalse(Files.exists(file), "the processes that read its exclusions publish them");
  }

  @Test
  void worksWithoutFolder() {
    ProcessFiles lost =
        new ProcessFiles(folder.resolve("none"), 1, () -> now, alive::contains, log::add);
    assertEquals(List.of(), lost.readOthers().partners());
    assertFalse(lost.publish(new ProcessState(1, ProcessState.Stage.READY, 0, 0, List.of(), null)));
    assertEquals(2, log.size());
  }
}
