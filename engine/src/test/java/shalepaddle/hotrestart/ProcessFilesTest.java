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

/** The state that one process of a node reads from the files of the others. */
class ProcessFilesTest {
  @TempDir private Path folder;

  private final Set<Long> livePids = new HashSet<>(Set.of(1L, 2L, 3L));
  private final List<String> log = new ArrayList<>();
  private long now = System.currentTimeMillis();

  private ProcessFiles filesOf(long pid) {
    return new ProcessFiles(folder, pid, () -> now, livePids::contains, log::add);
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
  void readOthersReturnsPublishedState() throws Exception {
    ProcessState publishedState =
        state(2, ProcessState.Stage.READY, new ServerExclusion(Long.MAX_VALUE, true, now));
    assertTrue(filesOf(2).publish(publishedState));
    assertEquals(List.of(publishedState), filesOf(1).readOthers().liveProcesses());
    assertEquals(
        List.of(), filesOf(2).readOthers().liveProcesses(), "a process must not read its own file");
    assertEquals(publishedState.memberList(), filesOf(1).readOthers().newestMemberList());
    assertNull(filesOf(2).readOthers().newestMemberList());
  }

  @Test
  void rejectsFileThatIsTruncatedOrChangedAnywhere() throws Exception {
    byte[] completeFile =
        StateFormat.write(state(2, ProcessState.Stage.READY, new ServerExclusion(5, true, 9)));
    for (int length = 0; length < completeFile.length; length++) {
      byte[] truncatedFile = Arrays.copyOf(completeFile, length);
      assertThrows(FormatException.class, () -> StateFormat.read(truncatedFile));
      byte[] changedFile = completeFile.clone();
      changedFile[length] ^= 1;
      assertThrows(FormatException.class, () -> StateFormat.read(changedFile));
    }
    Files.write(
        folder.resolve("shalepaddle-2.process"),
        "shalepaddle-process-9 0 0\n".getBytes(StandardCharsets.US_ASCII));
    Files.write(folder.resolve("shalepaddle-3.process"), new byte[2 << 20]);
    ProcessFiles files = filesOf(1);
    for (int i = 0; i < 100; i++) {
      assertEquals(List.of(), files.readOthers().liveProcesses());
    }
    assertEquals(2, log.size(), "each unreadable file must be logged once: " + log);
  }

  @Test
  void readsOnlyExclusionsOfProcessThatStoppedPublishingOrEnded() throws Exception {
    ServerExclusion exclusion = new ServerExclusion(5, true, now);
    filesOf(2).publish(state(2, ProcessState.Stage.READY, exclusion));
    Path file = folder.resolve("shalepaddle-2.process");
    Files.setLastModifiedTime(file, FileTime.fromMillis(now - ProcessFiles.MAX_SILENCE_MILLIS));
    assertEquals(List.of(), filesOf(1).readOthers().liveProcesses());
    assertEquals(List.of(exclusion), filesOf(1).readOthers().exclusions());
    livePids.remove(2L);
    assertEquals(List.of(exclusion), filesOf(1).readOthers().exclusions());
    now += 3 * ProcessFiles.MAX_SILENCE_MILLIS;
    assertEquals(List.of(exclusion), filesOf(1).readOthers().exclusions());
    assertFalse(
        Files.exists(file),
        "an ended process's file must be removed once others can have published its exclusions");
  }

  @Test
  void readsAndPublishesNothingWithoutFolder() {
    ProcessFiles files =
        new ProcessFiles(folder.resolve("none"), 1, () -> now, livePids::contains, log::add);
    assertEquals(List.of(), files.readOthers().liveProcesses());
    assertFalse(
        files.publish(new ProcessState(1, ProcessState.Stage.READY, 0, 0, List.of(), null)));
    assertEquals(2, log.size());
  }
}
