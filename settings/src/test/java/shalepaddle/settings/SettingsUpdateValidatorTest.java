package shalepaddle.settings;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Which configurations may replace the one that a node was started with. */
class SettingsUpdateValidatorTest {
  private static final String FILE =
      """
      {"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"1",
       "limits":{"cores":1.0,"sockets":256},"known":{"version":1,"servers":[]},
       "settings":{"caps":{"attempts-cap":6,"cancel":true},"prices":{"fleet":1},
        "services":[
         {"name":"read","effect":"retryable","group":"all","slo":0.75,"give-up":2,"aim-stretch":1},
         {"name":"put","effect":"fragile","group":"all","slo":0.3,"give-up":1,"aim-stretch":1}]}}
      """;

  private static void check(String next) throws FormatException {
    SettingsUpdateValidator.check(JsonObject.parse(FILE), JsonObject.parse(next));
  }

  private static String with(String part, String other) {
    assertTrue(FILE.contains(part), part);
    return FILE.replace(part, other);
  }

  @Test
  void acceptsOtherClassesLimitsListsAndPrices() {
    String added =
        "\"services\":[{\"name\":\"new\",\"effect\":\"dedup\",\"group\":\"cell\",\"slo\":1,\"give-up\":2},";
    assertDoesNotThrow(() -> check(FILE));
    assertDoesNotThrow(() -> check(with("\"services\":[", added)));
    assertDoesNotThrow(() -> check(with("\"attempts-cap\":6", "\"attempts-cap\":2")));
    assertDoesNotThrow(() -> check(with("{\"fleet\":1}", "{\"origin\":0.5}")));
    assertDoesNotThrow(() -> check(with("\"version\":1,", "\"version\":9,\"full\":true,")));
    assertDoesNotThrow(() -> check(with("\"effect\":\"retryable\"", "\"effect\":\"fragile\"")));
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
  void rejectsInvalidFileAndNamesTheKey(String part, String other, String key) {
    String next = with(part, other == null ? "" : other);
    FormatException e = assertThrows(FormatException.class, () -> check(next));
    assertTrue(e.getMessage().contains(key), e.getMessage());
  }

  @Test
  void rejectsEveryTruncatedFile() {
    String whole = FILE.strip();
    for (int length = 0; length < whole.length(); length++) {
      String cut = whole.substring(0, length);
      assertThrows(FormatException.class, () -> check(cut), cut);
    }
  }

  @Test
  void rejectsFileWithoutServiceClasses() {
    String none = FILE.substring(0, FILE.indexOf("\"services\":[") + 12) + "]}}";
    assertThrows(FormatException.class, () -> check(none));
    assertThrows(FormatException.class, () -> check(none.replace("[]", "[7]")));
  }
}
