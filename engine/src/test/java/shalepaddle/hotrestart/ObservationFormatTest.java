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

/** The file with observations that one process of a node publishes for the next. */
class ObservationFormatTest {
  @TempDir private Path folder;

  private static Observation seen(String key, Outcome.Result result, LoadReport load) {
    return new Observation(
        1_764_000_000.125,
        new Request("", key, "read", null, 1.5, 0.002, 100, true, false),
        new Outcome(
            "", 0, Long.MIN_VALUE, result, 0.25, 0.01, true, Outcome.CacheStatus.MISS, load));
  }

  private static List<Observation> some() {
    LoadReport load = new LoadReport(1, 2, 0.5, Double.NaN, 3, 4, 5, Double.NaN);
    return List.of(
        seen("a \"b\" ű", Outcome.Result.OK, load), seen(null, Outcome.Result.TIMEOUT, null));
  }

  @Test
  void readsWhatWasWritten() throws Exception {
    assertEquals(some(), ObservationFormat.read(ObservationFormat.write(some())));
    assertEquals(List.of(), ObservationFormat.read(ObservationFormat.write(List.of())));
  }

  @Test
  void rejectsFileThatIsTruncatedOrChangedAnywhere() throws Exception {
    byte[] whole = ObservationFormat.write(some());
    for (int length = 0; length < whole.length; length++) {
      byte[] cut = Arrays.copyOf(whole, length);
      assertThrows(FormatException.class, () -> ObservationFormat.read(cut), "cut at " + length);
    }
    for (int i = 0; i < whole.length; i++) {
      byte[] changed = whole.clone();
      changed[i] ^= 1;
      assertThrows(FormatException.class, () -> ObservationFormat.read(changed), "changed at " + i);
    }
  }

  @Test
  void goldenBytesOfVersionOne() throws Exception {
    String golden =
        "shalepaddle-seen-1 112 11c9d135\n"
            + "[[1.764000000125E9,-9223372036854775808,\"TIMEOUT\",\"MISS\",0.25,0.01,"
            + "null,\"read\",null,1.5,0.002,100.0,true,false]]";
    assertEquals(
        golden, new String(ObservationFormat.write(some().subList(1, 2)), StandardCharsets.UTF_8));
    assertEquals(
        some().subList(1, 2), ObservationFormat.read(golden.getBytes(StandardCharsets.UTF_8)));
  }

  @Test
  void keepsStoredNamesOfResults() throws Exception {
    Iterator<String> names =
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
      byte[] bytes = ObservationFormat.write(List.of(seen("k", result, null)));
      String stored = "\"" + names.next() + "\",\"MISS\"";
      assertTrue(new String(bytes, StandardCharsets.UTF_8).contains(stored), stored);
      assertEquals(result, ObservationFormat.read(bytes).get(0).outcome().result());
    }
    assertFalse(names.hasNext());
  }

  @Test
  void skipsElementsOfLaterVersion() throws Exception {
    byte[] more =
        Frame.wrap(
            "shalepaddle-seen-1",
            "[[1,2,\"OK\",\"HIT\",0.25,0,\"k\",\"read\",null,1,0,0,false,false,"
                + "1,2,3,4,5,6,7,8,{\"new\":[1]},9]]");
    assertEquals(3, ObservationFormat.read(more).get(0).outcome().load().utilization());
  }

  @Test
  void startReadsObservationsOfLivingProcessOnce() throws Exception {
    List<String> log = new ArrayList<>();
    ProcessFiles old =
        new ProcessFiles(folder, 1, System::currentTimeMillis, pid -> true, log::add);
    ProcessFiles next =
        new ProcessFiles(folder, 2, System::currentTimeMillis, pid -> true, log::add);
    old.publish(new ProcessState(1, ProcessState.Stage.READY, 0, 0, List.of(), null));
    assertEquals(List.of(), next.takeObservations());
    assertTrue(old.publishObservations(some()));
    assertEquals(some(), next.takeObservations());
    assertEquals(List.of(), next.takeObservations());
    Files.writeString(folder.resolve("shalepaddle-1.seen"), "shalepaddle-seen-2 2 0\n[]");
    assertEquals(List.of(), next.takeObservations());
    assertEquals(List.of("shalepaddle-1.seen: of another version, or none"), log);
  }
}
