package shalepaddle.settings;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Whether a configuration may take the place of one that is in force, beyond what it takes to read
 * it. A key that is missing would silently fall back to what holds without it; here it turns the
 * whole file down. So every key that the node was started with has to be there, with a value of the
 * same kind. What comes and goes is not looked into: the list of servers, peers, prices.
 */
public final class Retuning {
  /** Objects whose keys may differ: discovery's list, and prices that a site may not have. */
  private static final Set<String> OPEN = Set.of("known", "prices");

  /** Keys of a class that are not needed. */
  private static final Set<String> OPTIONAL = Set.of("aim-stretch");

  private static final Set<String> EFFECTS = Set.of("retryable", "dedup", "fragile");
  private static final Set<String> GROUPS = Set.of("all", "zone", "cell");
  private static final int MOST_CLASSES = 64;

  private Retuning() {}

  /**
   * Checks a file against the one that the node was started with.
   *
   * @throws FormatException names the key, and what would be right
   */
  public static void check(JsonObject present, JsonObject next) throws FormatException {
    same("", present, next);
    JsonObject settings = next.requiredNested("settings");
    services(present.requiredNested("settings"), settings);
    JsonObject caps = settings.nested("caps");
    if (caps.has("attempts-cap")) {
      double attempts = above("settings.caps.attempts-cap", caps.requiredNumber("attempts-cap"));
      if (attempts != Math.rint(attempts) || attempts > Integer.MAX_VALUE) {
        throw new FormatException("settings.caps.attempts-cap is no whole number");
      }
    }
  }

  private static void same(String path, JsonObject present, JsonObject next)
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
          && !OPEN.contains(field.getKey())) {
        same(key + ".", one, other);
      }
    }
  }

  private static Class<?> kind(Object value) {
    if (value instanceof Number) {
      return Number.class;
    }
    return value instanceof List<?> ? List.class : value.getClass();
  }

  /** What every class had at the start, each must have. */
  private static void services(JsonObject present, JsonObject next) throws FormatException {
    Set<String> common = null;
    for (JsonObject service : present.objects("services")) {
      if (common == null) {
        common = new HashSet<>(service.fields().keySet());
      }
      common.retainAll(service.fields().keySet());
    }
    List<JsonObject> services = next.objects("services");
    if (services.isEmpty() || services.size() > MOST_CLASSES) {
      throw new FormatException(
          "settings.services has " + services.size() + " classes, 1 to 64 are right");
    }
    if (services.size() != next.size("services")) {
      throw new FormatException("settings.services holds something that is no class");
    }
    Set<String> names = new HashSet<>();
    for (JsonObject service : services) {
      String name = service.requiredText("name");
      String path = "settings.services." + name + ".";
      if (name.isEmpty() || !names.add(name)) {
        throw new FormatException(
            "settings.services names '" + name + "' twice, or without a name");
      }
      for (String key : common == null ? Set.<String>of() : common) {
        if (!service.has(key) && !OPTIONAL.contains(key)) {
          throw new FormatException(path + key + " is missing");
        }
      }
      above(path + "give-up", service.requiredNumber("give-up"));
      above(path + "slo", service.requiredNumber("slo"));
      oneOf(path + "effect", service.requiredText("effect"), EFFECTS);
      if (service.has("group")) {
        oneOf(path + "group", service.requiredText("group"), GROUPS);
      }
      for (String key : List.of("credit", "late-share", "repeat-window")) {
        if (service.has(key) && !(service.requiredNumber(key) >= 0)) {
          throw new FormatException(path + key + " is below 0");
        }
      }
    }
  }

  private static double above(String key, double value) throws FormatException {
    if (!(value > 0) || Double.isInfinite(value)) {
      throw new FormatException(key + " is " + value + ", and has to be above 0");
    }
    return value;
  }

  private static void oneOf(String key, String value, Set<String> right) throws FormatException {
    if (!right.contains(value)) {
      throw new FormatException(key + " is '" + value + "', right are " + right);
    }
  }
}
