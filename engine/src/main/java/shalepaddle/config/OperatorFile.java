package shalepaddle.config;

import com.fasterxml.jackson.core.JacksonException;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import java.util.regex.Pattern;
import shalepaddle.coalescing.CoalescingConfig;
import shalepaddle.overload.OverloadConfig;
import shalepaddle.settings.FormatException;

/**
 * The operator's settings, in a TOML file: what the platform's configuration does not contain.
 * Every table and key is optional; an unknown one is an error, since it is most likely a typing
 * error. Immutable.
 *
 * @param overload the limits of overload control
 * @param coalescing whether and how equal reads share one response
 */
public record OperatorFile(OverloadConfig overload, CoalescingConfig coalescing) {
  /** The settings without a file. */
  public static final OperatorFile DEFAULTS =
      new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.OFF);

  private static final List<String> TABLES = List.of("overload", "joining");

  private static final List<String> OVERLOAD_KEYS =
      List.of("shed", "target_ms", "learn", "repeats", "waits_ms", "advice_ms");

  private static final List<String> COALESCING_KEYS =
      List.of("join", "across_tenants", "callers", "age_ms", "flights", "retries");

  /**
   * Reads and checks the file.
   *
   * @param file null for the defaults
   * @throws FormatException names the file, the line and the values that are allowed
   */
  public static OperatorFile load(String file) throws FormatException {
    if (file == null) {
      return DEFAULTS;
    }
    String text;
    try {
      text = Files.readString(Path.of(file));
    } catch (IOException | InvalidPathException e) {
      throw new FormatException("cannot read the operator file " + file);
    }
    return parse(file, text);
  }

  /** Reads and checks such a file's text. */
  static OperatorFile parse(String file, String text) throws FormatException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JacksonException e) {
      JsonLocation at = e.getLocation();
      throw new FormatException(
          "%s, line %d: %s"
              .formatted(file, at == null ? 1 : at.getLineNr(), e.getOriginalMessage()));
    }
    Reader reader = new Reader(file, text);
    reader.onlyKnown(root, "", TABLES);
    JsonNode overload = reader.table(root, "overload", OVERLOAD_KEYS);
    JsonNode coalescing = reader.table(root, "joining", COALESCING_KEYS);
    try {
      return new OperatorFile(overload(reader, overload), coalescing(reader, coalescing));
    } catch (IllegalArgumentException e) {
      throw reader.error(e.getMessage().split(" ", 0)[0], e.getMessage());
    }
  }

  private static OverloadConfig overload(Reader reader, JsonNode table) throws FormatException {
    OverloadConfig defaults = OverloadConfig.DEFAULT;
    return new OverloadConfig(
        reader.flag(table, "shed", defaults.isSheddingEnabled()),
        reader.number(table, "target_ms", defaults.targetDelaySeconds() * 1e3) / 1e3,
        reader.number(table, "learn", defaults.minAdmittedRatio()),
        reader.number(table, "repeats", defaults.retryRatio()),
        reader.number(table, "waits_ms", defaults.maxQueueSeconds() * 1e3) / 1e3,
        reader.number(table, "advice_ms", defaults.minRetryAfterSeconds() * 1e3) / 1e3);
  }

  private static CoalescingConfig coalescing(Reader reader, JsonNode table) throws FormatException {
    CoalescingConfig defaults = CoalescingConfig.OFF;
    return new CoalescingConfig(
        reader.flag(table, "join", defaults.enabled()),
        reader.flag(table, "across_tenants", defaults.acrossTenants()),
        reader.integer(table, "callers", defaults.maxWaiters()),
        reader.number(table, "age_ms", defaults.maxAgeSeconds() * 1e3) / 1e3,
        reader.integer(table, "flights", defaults.maxFlights()),
        reader.number(table, "retries", defaults.retriesPerJoin()));
  }

  /** Reads values; its errors name the line. */
  private record Reader(String file, String text) {
    void onlyKnown(JsonNode table, String prefix, List<String> known) throws FormatException {
      for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
        String name = names.next();
        if (!known.contains(name)) {
          throw error(
              name,
              "%s%s is not known; known are %s".formatted(prefix, name, String.join(", ", known)));
        }
      }
    }

    /** The table of this name, which is optional, with no other keys than these. */
    JsonNode table(JsonNode root, String name, List<String> known) throws FormatException {
      JsonNode table = root.path(name);
      if (!table.isMissingNode() && !table.isObject()) {
        throw error(
            name, "%s must be a table: write [%s] on a line of its own".formatted(name, name));
      }
      onlyKnown(table, name + ".", known);
      return table;
    }

    int integer(JsonNode table, String key, int defaultValue) throws FormatException {
      double value = number(table, key, defaultValue);
      if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
        throw error(key, key + " must be a whole number, such as " + defaultValue);
      }
      return (int) value;
    }

    double number(JsonNode table, String key, double defaultValue) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return defaultValue;
      }
      if (!value.isNumber()) {
        throw error(key, key + " must be a number, such as " + defaultValue);
      }
      return value.doubleValue();
    }

    boolean flag(JsonNode table, String key, boolean defaultValue) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return defaultValue;
      }
      if (!value.isBoolean()) {
        throw error(key, key + " must be true or false, without quotes");
      }
      return value.booleanValue();
    }

    FormatException error(String key, String what) {
      return new FormatException("%s, line %d: %s".formatted(file, line(key), what));
    }

    /** The first line with the key; 1 if there is none, as where the key is quoted unusually. */
    private int line(String key) {
      Pattern named =
          Pattern.compile(
              "^\\s*[\\[\"']*([\\w-]+\\.)*" + Pattern.quote(key) + "[\"'\\]]*\\s*(=|$)");
      List<String> lines = text.lines().toList();
      for (int i = 0; i < lines.size(); i++) {
        if (named.matcher(lines.get(i)).find()) {
          return i + 1;
        }
      }
      return 1;
    }
  }
}
