package shalepaddle.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Checks whether a configuration may replace the current one. This is stricter than reading it: a
 * missing key would silently fall back to its default, so here the file is invalid without the key.
 * Every key of the configuration at startup must be present, with a value of the same type. The
 * contents of the endpoint list and of the prices are not checked, nor are items of arrays, except
 * the service classes. Stateless.
 */
public final class SettingsUpdateValidator {
  /**
   * Objects whose keys may differ from those at startup: the endpoint list, and the prices of
   * resources, of which a site may have only some.
   */
  private static final Set<String> UNCHECKED_OBJECTS = Set.of("known", "prices");

  /** Keys of a service class that may be absent. */
  private static final Set<String> OPTIONAL_SERVICE_KEYS = Set.of("aim-stretch");

  private static final Set<String> IDEMPOTENCY_NAMES = Set.of("retryable", "dedup", "fragile");
  private static final Set<String> SCOPE_NAMES = Set.of("all", "zone", "cell");
  private static final int MAX_SERVICE_CLASSES = 64;

  private SettingsUpdateValidator() {}

  /**
   * Checks a new configuration against the one at startup.
   *
   * @param startupJson the configuration that the node was started with
   * @param newJson the configuration that may replace the current one
   * @throws FormatException if {@code newJson} must not be applied; the message names the key and
   *     the problem
   */
  public static void check(JsonObject startupJson, JsonObject newJson) throws FormatException {
    checkSameKeys("", startupJson, newJson);
    JsonObject settings = newJson.requiredNested("settings");
    checkServices(startupJson.requiredNested("settings"), settings);
    JsonObject caps = settings.nested("caps");
    if (caps.has("attempts-cap")) {
      double attemptsCap =
          checkPositive("settings.caps.attempts-cap", caps.requiredNumber("attempts-cap"));
      if (attemptsCap != Math.rint(attemptsCap) || attemptsCap > Integer.MAX_VALUE) {
        throw new FormatException("settings.caps.attempts-cap is not an integer");
      }
    }
  }

  private static void checkSameKeys(String path, JsonObject startupJson, JsonObject newJson)
      throws FormatException {
    for (Map.Entry<String, Object> field : startupJson.fields().entrySet()) {
      String key = path + field.getKey();
      Object startupValue = field.getValue();
      Object newValue = newJson.fields().get(field.getKey());
      if (startupValue == null) {
        continue;
      }
      if (newValue == null) {
        throw new FormatException(key + " is missing, but was present at startup");
      }
      if (jsonType(startupValue) != jsonType(newValue)) {
        throw new FormatException(key + " has a value of another type than at startup");
      }
      if (startupValue instanceof JsonObject startupObject
          && newValue instanceof JsonObject newObject
          && !UNCHECKED_OBJECTS.contains(field.getKey())) {
        checkSameKeys(key + ".", startupObject, newObject);
      }
    }
  }

  private static Class<?> jsonType(Object value) {
    if (value instanceof Number) {
      return Number.class;
    }
    return value instanceof List<?> ? List.class : value.getClass();
  }

  /** Checks that each service class has the keys that all service classes had at startup. */
  private static void checkServices(JsonObject startupJson, JsonObject newJson)
      throws FormatException {
    Set<String> requiredKeys = requiredServiceKeys(startupJson);
    List<JsonObject> services = newJson.objects("services");
    if (services.isEmpty() || services.size() > MAX_SERVICE_CLASSES) {
      throw new FormatException(
          "settings.services has "
              + services.size()
              + " classes, must have 1 to "
              + MAX_SERVICE_CLASSES);
    }
    if (services.size() != newJson.size("services")) {
      throw new FormatException("settings.services has an item that is not an object");
    }
    Set<String> names = new HashSet<>();
    for (JsonObject service : services) {
      String name = service.requiredText("name");
      String path = "settings.services." + name + ".";
      if (name.isEmpty() || !names.add(name)) {
        throw new FormatException(
            "settings.services has a duplicate or empty name: '" + name + "'");
      }
      checkService(service, path, requiredKeys);
    }
  }

  private static Set<String> requiredServiceKeys(JsonObject startupJson) {
    Set<String> commonKeys = null;
    for (JsonObject service : startupJson.objects("services")) {
      if (commonKeys == null) {
        commonKeys = new HashSet<>(service.fields().keySet());
      }
      commonKeys.retainAll(service.fields().keySet());
    }
    return commonKeys == null ? Set.of() : commonKeys;
  }

  private static void checkService(JsonObject service, String path, Set<String> requiredKeys)
      throws FormatException {
    for (String key : requiredKeys) {
      if (!service.has(key) && !OPTIONAL_SERVICE_KEYS.contains(key)) {
        throw new FormatException(path + key + " is missing");
      }
    }
    checkPositive(path + "give-up", service.requiredNumber("give-up"));
    checkPositive(path + "slo", service.requiredNumber("slo"));
    checkOneOf(path + "effect", service.requiredText("effect"), IDEMPOTENCY_NAMES);
    if (service.has("group")) {
      checkOneOf(path + "group", service.requiredText("group"), SCOPE_NAMES);
    }
    for (String key : List.of("credit", "late-share", "repeat-window")) {
      if (service.has(key) && !(service.requiredNumber(key) >= 0)) {
        throw new FormatException(path + key + " is below 0");
      }
    }
  }

  private static double checkPositive(String key, double value) throws FormatException {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new FormatException(key + " is " + value + ", must be finite and above 0");
    }
    return value;
  }

  private static void checkOneOf(String key, String value, Set<String> allowed)
      throws FormatException {
    if (!allowed.contains(value)) {
      throw new FormatException(key + " is '" + value + "', must be one of " + allowed);
    }
  }
}
