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

/** Checks that no file of the main code has more than 500 lines, so that it stays readable. */
class SourceSizeTest {
  private static final int MAX_LINES = 500;

  /**
   * The line limits of longer files, which are to be split. None of these files is in the deployed
   * jar.
   */
  private static final Map<String, Integer> LINE_LIMITS_OF_LONG_FILES =
      Map.of(
          "HollowFeed.java", 667,
          "StandInClients.java", 645,
          "ScenarioSimulation.java", 592,
          "StandInServer.java", 560);

  @Test
  void sourceFilesStayBelowMaximumLength() throws IOException {
    Map<String, Integer> linesOfTooLongFiles = new TreeMap<>();
    List<Path> sourceFiles = findSourceFiles();
    for (Path source : sourceFiles) {
      String name = source.getFileName().toString();
      int lineCount = Files.readAllLines(source).size();
      if (lineCount > LINE_LIMITS_OF_LONG_FILES.getOrDefault(name, MAX_LINES)) {
        linesOfTooLongFiles.put(source.toString(), lineCount);
      }
    }
    assertTrue(
        sourceFiles.size() > 200,
        "expected more than 200 source files, found " + sourceFiles.size());
    assertEquals(Map.of(), linesOfTooLongFiles);
  }

  private static List<Path> findSourceFiles() throws IOException {
    try (Stream<Path> files = Files.walk(Path.of("."), 12)) {
      return files
          .filter(file -> file.toString().endsWith(".java"))
          .filter(file -> file.toString().replace('\\', '/').contains("/src/main/java/"))
          .filter(file -> !file.toString().contains("/target/"))
          .toList();
    }
  }
}
