package shalepaddle.settings;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which configurations may replace the configuration that a running node was started with. */
class SettingsUpdateValidatorTest {
  private static final String STARTUP_CONFIG =
      """
      {"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
       "limits":{"cores":1.0,"sockets":256},"known":{"version":1,"servers":[]},
       "settings":{"caps":{"attempts-cap":6,"cancel":true},"prices":{"fleet":1},
        "services":[
         {"name":"read","effect":"retryable","group":"all","slo":0.75,"give-up":2,"aim-stretch":1},
         {"name":"put","effect":"fragile","group":"all","slo":0.3,"give-up":1,"aim-stretch":1}]}}
      """;

  private static void checkUpdate(String newConfig) throws FormatException {
    SettingsUpdateValidator.check(JsonObject.parse(STARTUP_CONFIG), JsonObject.parse(newConfig));
  }

  private static String startupConfigWith(String replacedText, String replacement) {
    assertTrue(STARTUP_CONFIG.contains(replacedText), replacedText);
    return STARTUP_CONFIG.replace(replacedText, replacement);
  }

  @Test
  void acceptsChangedClassesLimitsMembersAndPrices() {
    String servicesWithAddedClass =
        "\"services\":[{\"name\":\"new\",\"effect\":\"dedup\",\"group\":\"cell\","
            + "\"slo\":1,\"give-up\":2},";
    assertDoesNotThrow(() -> checkUpdate(STARTUP_CONFIG));
    assertDoesNotThrow(
        () -> checkUpdate(startupConfigWith("\"services\":[", servicesWithAddedClass)));
    assertDoesNotThrow(
        () -> checkUpdate(startupConfigWith("\"attempts-cap\":6", "\"attempts-cap\":2")));
    assertDoesNotThrow(() -> checkUpdate(startupConfigWith("{\"fleet\":1}", "{\"origin\":0.5}")));
    assertDoesNotThrow(
        () -> checkUpdate(startupConfigWith("\"version\":1,", "\"version\":9,\"full\":true,")));
    assertDoesNotThrow(
        () -> checkUpdate(startupConfigWith("\"effect\":\"retryable\"", "\"effect\":\"fragile\"")));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "\"discovery\":\"127.0.0.1:2\",||discovery",
        "\"cancel\":true|\"cancel\":null|settings.caps.cancel",
        "\"cancel\":true|\"cancel\":1|settings.caps.cancel",
        "\"caps\":{\"attempts-cap\":6,\"cancel\":true},||settings.caps",
        "\"attempts-cap\":6|\"attempts-cap\":0|settings.caps.attempts-cap",
        "\"attempts-cap\":6|\"attempts-cap\":-3|settings.caps.attempts-cap",
        "\"attempts-cap\":6|\"attempts-cap\":2.5|settings.caps.attempts-cap",
        "\"attempts-cap\":6|\"attempts-cap\":\"six\"|settings.caps.attempts-cap",
        "\"give-up\":2|\"give-up\":0|settings.services.read.give-up",
        "\"give-up\":2|\"give-up\":-1|settings.services.read.give-up",
        "\"give-up\":2|\"give-up\":\"long\"|give-up",
        "\"give-up\":2,||settings.services.read.give-up",
        "\"slo\":0.3|\"slo\":0|settings.services.put.slo",
        "\"effect\":\"fragile\"|\"effect\":\"brittle\"|settings.services.put.effect",
        "\"effect\":\"fragile\",||settings.services.put.effect",
        "\"name\":\"put\"|\"name\":\"read\"|settings.services",
        "\"name\":\"put\"|\"name\":\"\"|settings.services",
      })
  void rejectsInvalidFileAndNamesKey(String replacedText, String replacement, String key) {
    String newConfig = startupConfigWith(replacedText, replacement == null ? "" : replacement);
    FormatException e = assertThrows(FormatException.class, () -> checkUpdate(newConfig));
    assertTrue(e.getMessage().contains(key), e.getMessage());
  }

  @Test
  void rejectsTruncatedFile() {
    String completeFile = STARTUP_CONFIG.strip();
    for (int length = 0; length < completeFile.length(); length++) {
      String truncatedFile = completeFile.substring(0, length);
      assertThrows(FormatException.class, () -> checkUpdate(truncatedFile), truncatedFile);
    }
  }

  @Test
  void rejectsFileWithoutServiceClasses() {
    String configWithoutClasses =
        STARTUP_CONFIG.substring(0, STARTUP_CONFIG.indexOf("\"services\":[") + 12) + "]}}";
    assertThrows(FormatException.class, () -> checkUpdate(configWithoutClasses));
    assertThrows(
        FormatException.class, () -> checkUpdate(configWithoutClasses.replace("[]", "[7]")));
  }
}
