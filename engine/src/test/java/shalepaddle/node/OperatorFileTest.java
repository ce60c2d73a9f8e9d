package shalepaddle.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.config.OperatorFile;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.settings.FormatException;

class OperatorFileTest {
  @TempDir private Path folder;

  private OperatorFile load(String text) throws Exception {
    Path file = folder.resolve("operator.toml");
    Files.writeString(file, text.replace(';', '\n'));
    return OperatorFile.load(file.toString());
  }

  @Test
  void deployedFileContainsDefaults() throws Exception {
    assertEquals(OperatorFile.DEFAULTS, OperatorFile.load("deploy/operator.toml"));
    assertEquals(OperatorFile.DEFAULTS, load(""));
    assertEquals(OperatorFile.DEFAULTS, OperatorFile.load(null));
  }

  @Test
  void convertsMillisecondsToSeconds() throws Exception {
    assertEquals(
        new OverloadConfig(false, 0.02, 0.05, 0.2, 0.1, 0.25),
        load("[overload];shed = false;target_ms = 20;learn = 0.05;repeats = 0.2;"
                + "waits_ms = 100;advice_ms = 250")
            .overload());
  }

  @Test
  void coalescesReadsOnlyWhenEnabled() throws Exception {
    assertEquals(CoalescingConfig.OFF, load("").coalescing());
    assertEquals(CoalescingConfig.DEFAULTS, load("[joining];join = true").coalescing());
    assertEquals(
        new CoalescingConfig(true, true, 50, 0.1, 20, 0.5),
        load("[joining];join = true;across_tenants = true;callers = 50;age_ms = 100;"
                + "flights = 20;retries = 0.5")
            .coalescing());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "# a;[overload];target = 5|line 3: overload.target is not known; known are shed, target_ms",
        "[overlaod]|line 1: overlaod is not known; known are overload, joining",
        "overload = 3|line 1: overload must be a table: write [overload] on a line of its own",
        "[overload];;shed = 'no'|line 3: shed must be true or false, without quotes",
        "[overload];learn = '5'|line 2: learn must be a number, such as 0.02",
        "[overload];learn = 0.02;target_ms = 0|line 3: target_ms is 0.0, and must be from 1.0 to",
        "[overload];learn = |line 2: ",
        "joining = true|line 1: joining must be a table: write [joining] on a line of its own",
        "[joining];joins = true|line 2: joining.joins is not known; known are join, across_tenants",
        "[joining];callers = 1.5|line 2: callers must be a whole number, such as 1000",
        "[joining];join = true;callers = 1|line 3: callers is 1.0, and must be from 2.0 to",
        "[joining];age_ms = 0|line 2: age_ms is 0.0, and must be from 1.0 to 60000.0"
      })
  void loadFailureNamesLine(String text, String expectedMessage) {
    FormatException e = assertThrows(FormatException.class, () -> load(text));
    String reportedMessage = e.getMessage();
    String reportedLine = reportedMessage.substring(reportedMessage.indexOf(", line ") + 2);
    assertEquals(
        expectedMessage.strip(),
        reportedLine
            .substring(0, Math.min(reportedLine.length(), expectedMessage.length()))
            .strip());
  }

  @Test
  void loadFailureNamesMissingFile() {
    FormatException e =
        assertThrows(FormatException.class, () -> OperatorFile.load("no/such/file.toml"));
    assertEquals("cannot read the operator file no/such/file.toml", e.getMessage());
  }
}
