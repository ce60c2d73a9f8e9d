package shalepaddle.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a configuration may replace the one in force, beyond what it takes to read it. A missing
 * key would silently fall back to its default; here it rejects the whole file. So every key that
 * the node was started with has to be there, with a value of the same kind. What comes and goes is
 * not checked: the endpoint list, peers, prices. Stateless.
 */
public final class SettingsUpdateValidator {
  /** Objects whose keys may differ: the endpoint list, and prices that a site may not have. */
  private static final Set<String> UNCHECKED_OBJECTS = Set.of("known", "prices");

  /** Keys of a service class that may be absent. */
  private static final Set<String> OPTIONAL_SERVICE_KEYS = Set.of("aim-stretch");

  private static final Set<String> IDEMPOTENCY_NAMES = Set.of("retryable", "dedup", "fragile");
  private static final Set<String> SCOPE_NAMES = Set.of("all", "zone", "cell");
  private static final int MAX_SERVICE_CLASSES = 64;

  private SettingsUpdateValidator() {}

  /**
   * Checks a file against the one that the node was started with.
   *
   * @throws FormatException if it must not; the message names the key and the remedy
   */
  public static void check(JsonObject present, JsonObject next) throws FormatException {
    checkSameKeys("", present, next);
    JsonObject settings = next.requiredNested("settings");
    checkServices(present.requiredNested("settings"), settings);
    JsonObject caps = settings.nested("caps");
    if (caps.has("attempts-cap")) {
      double attempts =
          checkPositive("settings.caps.attempts-cap", caps.requiredNumber("attempts-cap"));
      if (attempts != Math.rint(attempts) || attempts > Integer.MAX_VALUE) {
        throw new FormatException("settings.caps.attempts-cap is not an integer");
      }
    }
  }

  private static void checkSameKeys(String path, JsonObject present, JsonObject next)
      throws FormatException {
    for (Map.Entry<String, Object> field : present.fields().entrySet()) {
      String key = path + field.getKey();
      Object was = field.getValue();
      Object is = next.fields().get(field.getKey());
      if (was == null) {
        continue;
      }
      if (is == null) {
        throw new FormatException(key + " is missing, it was there at the start");
      }
      if (kind(was) != kind(is)) {
        throw new FormatException(key + " has a value of another kind than at the start");
      }
      if (was instanceof JsonObject one
          && is instanceof JsonObject other
          && !UNCHECKED_OBJECTS.contains(field.getKey())) {
        checkSameKeys(key + ".", one, other);
      }
    }
  }

  private static Class<?> kind(Object value) {
    if (value instanceof Number) {
      return Number.class;
    }
    return value instanceof List<?> ? List.class : value.getClass();
  }

  /** Each service class must have the keys that all had at the start. */
  private static void checkServices(JsonObject present, JsonObject next) throws FormatException {
    Set<String> required = requiredServiceKeys(present);
    List<JsonObject> services = next.objects("services");
    if (services.isEmpty() || services.size() > MAX_SERVICE_CLASSES) {
      throw new FormatException(
          "settings.services has " + services.size() + " classes, 1 to 64 are right");
    }
    if (services.size() != next.size("services")) {
      throw new FormatException("settings.services has an item that is not an object");
    }
    Set<String> names = new HashSet<>();
    for (JsonObject service : services) {
      String name = service.requiredText("name");
      String path = "settings.services." + name + ".";
      if (name.isEmpty() || !names.add(name)) {
        throw new FormatException(
            "settings.services names '" + name + "' twice, or without a name");
      }
      checkService(service, path, required);
    }
  }

  private static Set<String> requiredServiceKeys(JsonObject present) {
    Set<String> common = null;
    for (JsonObject service : present.objects("services")) {
      if (common == null) {
        common = new HashSet<>(service.fields().keySet());
      }
      common.retainAll(service.fields().keySet());
    }
    return common == null ? Set.of() : common;
  }

  private static void checkService(JsonObject service, String path, Set<String> required)
      throws FormatException {
    for (String key : required) {
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
      throw new FormatException(key + " is " + value + ", and has to be above 0");
    }
    return value;
  }

  private static void checkOneOf(String key, String value, Set<String> right)
      throws FormatException {
    if (!right.contains(value)) {
      throw new FormatException(key + " is '" + value + "', right are " + right);
    }
  }
}
