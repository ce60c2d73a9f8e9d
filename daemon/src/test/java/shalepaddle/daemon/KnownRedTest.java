package shalepaddle.daemon;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What {@code .ci/check-failures} lets pass, and what it does not. */
class KnownRedTest {
  private static final String ENTRY = "RingTest#spills | mvn test, seed 7 | 3 of 4 | 12\n";

  private record Result(int status, String output) {}

  @TempDir private Path folder;

  @BeforeEach
  void oneTestHasFailed() throws IOException {
    Path reports = Files.createDirectories(folder.resolve("core/target/surefire-reports"));
    Files.writeString(
        reports.resolve("TEST-RingTest.xml"),
        """
        <testsuite>
          <testcase name="spills(int)[2]" classname="shalepaddle.policy.RingTest" time="0.1">
            <failure message="expected: 4"/>
          </testcase>
          <testcase name="rebuilds" classname="shalepaddle.policy.RingTest" time="0.1"/>
        </testsuite>
        """);
  }

  @Test
  void passesOverFailureThatIsListedAndPrintsIt() throws Exception {
    Result result = check("# known\n" + ENTRY);
    assertEquals(0, result.status(), result.output());
    assertEquals("KNOWN RED: " + ENTRY, result.output());
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "RingTest#spillsOver | mvn test | 3 of 4 | 12\n"})
  void failsForTestThatIsNotListed(String list) throws Exception {
    Result result = check(list);
    assertEquals(1, result.status());
    assertTrue(result.output().contains("FAILED: RingTest#spills\n"), result.output());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "RingTest#spills: cause, issue\n",
        "RingTest#spills | mvn test | 3 of 4\n",
        "RingTest#spills | mvn test | | 12\n",
        "RingTest | mvn test | 3 of 4 | 12\n",
      })
  void failsForEntryThatIsIncomplete(String list) throws Exception {
    Result result = check(list);
    assertEquals(1, result.status());
    assertTrue(result.output().contains("incomplete"), result.output());
  }

  @Test
  void failsForMoreThanThreeEntries() throws Exception {
    assertEquals(1, check(ENTRY.repeat(4)).status());
  }

  @Test
  void failsWhereNoTestHasRun() throws Exception {
    Files.delete(folder.resolve("core/target/surefire-reports/TEST-RingTest.xml"));
    assertEquals(1, check(ENTRY).status());
  }

  private Result check(String list) throws IOException, InterruptedException {
    Path file = Files.writeString(folder.resolve("KNOWN-RED.txt"), list);
    String script = Path.of(".ci/check-failures").toAbsolutePath().toString();
    Process process =
        new ProcessBuilder(script, file.toString())
            .directory(folder.toFile())
            .redirectErrorStream(true)
            .start();
    String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    return new Result(process.waitFor(), output);
  }
}
