package shalepaddle.hotrestart;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.settings.FormatException;

/** The file of observations that one process of a node publishes for its successor. */
class ObservationFormatTest {
  @TempDir private Path folder;

  private static Observation observation(String key, Outcome.Result result, LoadReport load) {
    return new Observation(
        1_764_000_000.125,
        new Request("", key, "read", null, 1.5, 0.002, 100, true, false),
        new Outcome(
            "", 0, Long.MIN_VALUE, result, 0.25, 0.01, true, Outcome.CacheStatus.MISS, load));
  }

  private static List<Observation> observations() {
    LoadReport load = new LoadReport(1, 2, 0.5, Double.NaN, 3, 4, 5, Double.NaN);
    return List.of(
        observation("a \"b\" ű", Outcome.Result.OK, load),
        observation(null, Outcome.Result.TIMEOUT, null));
  }

  @Test
  void readReturnsWrittenObservations() throws Exception {
    assertEquals(observations(), ObservationFormat.read(ObservationFormat.write(observations())));
    assertEquals(List.of(), ObservationFormat.read(ObservationFormat.write(List.of())));
  }

  @Test
  void rejectsFileThatIsTruncatedOrChangedAnywhere() throws Exception {
    byte[] completeFile = ObservationFormat.write(observations());
    for (int length = 0; length < completeFile.length; length++) {
      byte[] truncatedFile = Arrays.copyOf(completeFile, length);
      assertThrows(
          FormatException.class,
          () -> ObservationFormat.read(truncatedFile),
          "read() must reject a file truncated to " + length + " bytes");
    }
    for (int i = 0; i < completeFile.length; i++) {
      byte[] changedFile = completeFile.clone();
      changedFile[i] ^= 1;
      assertThrows(
          FormatException.class,
          () -> ObservationFormat.read(changedFile),
          "read() must reject a file changed at byte " + i);
    }
  }

  @Test
  void readsAndWritesGoldenBytesOfVersionOne() throws Exception {
    String goldenFile =
        "shalepaddle-seen-1 112 11c9d135\n"
            + "[[1.764000000125E9,-9223372036854775808,\"TIMEOUT\",\"MISS\",0.25,0.01,"
            + "null,\"read\",null,1.5,0.002,100.0,true,false]]";
    assertEquals(
        goldenFile,
        new String(ObservationFormat.write(observations().subList(1, 2)), StandardCharsets.UTF_8));
    assertEquals(
        observations().subList(1, 2),
        ObservationFormat.read(goldenFile.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void readsAndWritesEachResultByStoredName() throws Exception {
    Iterator<String> storedNames =
        List.of(
                "OK",
                "ERROR",
                "FULL",
                "TIMEOUT",
                "CONNECT_FAILED",
                "RESET",
                "CANCELLED",
                "MOOT",
                "NO_PLACE",
                "NOT_STORED",
                "SPOILT")
            .iterator();
    for (Outcome.Result result : Outcome.Result.values()) {
      byte[] file = ObservationFormat.write(List.of(observation("k", result, null)));
      String storedResult = "\"" + storedNames.next() + "\",\"MISS\"";
      assertTrue(new String(file, StandardCharsets.UTF_8).contains(storedResult), storedResult);
      assertEquals(result, ObservationFormat.read(file).get(0).outcome().result());
    }
    assertFalse(storedNames.hasNext());
  }

  @Test
  void readSkipsElementsOfLaterVersion() throws Exception {
    byte[] extendedFile =
        Frame.wrap(
            "shalepaddle-seen-1",
            "[[1,2,\"OK\",\"HIT\",0.25,0,\"k\",\"read\",null,1,0,0,false,false,"
                + "1,2,3,4,5,6,7,8,{\"new\":[1]},9]]");
    assertEquals(3, ObservationFormat.read(extendedFile).get(0).outcome().load().utilization());
  }

  @Test
  void takesObservationsOfLiveProcessOnce() throws Exception {
    List<String> log = new ArrayList<>();
    ProcessFiles predecessor =
        new ProcessFiles(folder, 1, System::currentTimeMillis, pid -> true, log::add);
    ProcessFiles successor =
        new ProcessFiles(folder, 2, System::currentTimeMillis, pid -> true, log::add);
    predecessor.publish(new ProcessState(1, ProcessState.Stage.READY, 0, 0, List.of(), null));
    assertEquals(List.of(), successor.takeObservations());
    assertTrue(predecessor.publishObservations(observations()));
    assertEquals(observations(), successor.takeObservations());
    assertEquals(List.of(), successor.takeObservations());
    Files.writeString(folder.resolve("shalepaddle-1.seen"), "shalepaddle-seen-2 2 0\n[]");
    assertEquals(List.of(), successor.takeObservations());
    assertEquals(List.of("shalepaddle-1.seen: not in format shalepaddle-seen-1"), log);
  }
}
