package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** No file of the main code holds more lines than a reader takes in at a time. */
class SourceSizeTest {
  private static final int MAX_LINES = 500;

  /**
   * Files that are still to be split, none of them in the deployed jar, with the lines they hold.
   */
  private static final Map<String, Integer> TO_BE_SPLIT =
      Map.of(
          "HollowFeed.java", 667,
          "StandInClients.java", 645,
          "ScenarioSimulation.java", 592,
          "StandInServer.java", 560);

  @Test
  void noFileHoldsTooManyLines() throws IOException {
    Map<String, Integer> tooLong = new TreeMap<>();
    List<Path> sources = sources();
    for (Path source : sources) {
      String name = source.getFileName().toString();
      int lines = Files.readAllLines(source).size();
      if (lines > TO_BE_SPLIT.getOrDefault(name, MAX_LINES)) {
        tooLong.put(source.toString(), lines);
      }
    }
    assertTrue(sources.size() > 200, "sources found: " + sources.size());
    assertEquals(Map.of(), tooLong);
  }

  private static List<Path> sources() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("."), 12)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> file.toString().replace('\\', '/').contains("/src/main/java/"))
          .filter(file -> !file.toString().contains("/target/"))
          .toList();
    }
  }
}
