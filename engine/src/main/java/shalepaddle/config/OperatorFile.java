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
 * The operator's settings from a TOML file, which the platform's configuration does not contain.
 * Every table and key is optional; an unknown name is an error, since it is most likely misspelled.
 * Immutable.
 *
 * @param overload the limits of overload control
 * @param coalescing whether and how reads of the same key share one response
 */
public record OperatorFile(OverloadConfig overload, CoalescingConfig coalescing) {
  /** The settings that apply without a file. */
  public static final OperatorFile DEFAULTS =
      new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.OFF);

  private static final List<String> TABLE_NAMES = List.of("overload", "joining");

  private static final List<String> OVERLOAD_KEYS =
      List.of("shed", "target_ms", "learn", "repeats", "waits_ms", "advice_ms");

  private static final List<String> COALESCING_KEYS =
      List.of("join", "across_tenants", "callers", "age_ms", "flights", "retries");

  /**
   * Reads and validates a file.
   *
   * @param file the file's name, null for the defaults
   * @throws FormatException if the file cannot be used; the message names the file, and for an
   *     invalid content the line and the problem
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

  /** Validates the text of a file. */
  static OperatorFile parse(String file, String text) throws FormatException {
    JsonNode root;
    try {
      root = new TomlMapper().readTree(text);
    } catch (JacksonException e) {
      JsonLocation location = e.getLocation();
      throw new FormatException(
          "%s, line %d: %s"
              .formatted(
                  file, location == null ? 1 : location.getLineNr(), e.getOriginalMessage()));
    }
    Reader reader = new Reader(file, text);
    reader.rejectUnknownKeys(root, "", TABLE_NAMES);
    JsonNode overload = reader.readTable(root, "overload", OVERLOAD_KEYS);
    JsonNode coalescing = reader.readTable(root, "joining", COALESCING_KEYS);
    try {
      return new OperatorFile(readOverload(reader, overload), readCoalescing(reader, coalescing));
    } catch (IllegalArgumentException e) {
      throw reader.errorAt(e.getMessage().split(" ", 0)[0], e.getMessage());
    }
  }

  private static OverloadConfig readOverload(Reader reader, JsonNode table) throws FormatException {
    OverloadConfig defaults = OverloadConfig.DEFAULT;
    return new OverloadConfig(
        reader.readFlag(table, "shed", defaults.isSheddingEnabled()),
        reader.readNumber(table, "target_ms", defaults.targetDelaySeconds() * 1e3) / 1e3,
        reader.readNumber(table, "learn", defaults.minAdmittedRatio()),
        reader.readNumber(table, "repeats", defaults.retryRatio()),
        reader.readNumber(table, "waits_ms", defaults.maxQueueSeconds() * 1e3) / 1e3,
        reader.readNumber(table, "advice_ms", defaults.minRetryAfterSeconds() * 1e3) / 1e3);
  }

  private static CoalescingConfig readCoalescing(Reader reader, JsonNode table)
      throws FormatException {
    CoalescingConfig defaults = CoalescingConfig.OFF;
    return new CoalescingConfig(
        reader.readFlag(table, "join", defaults.isEnabled()),
        reader.readFlag(table, "across_tenants", defaults.sharesAcrossTenants()),
        reader.readInteger(table, "callers", defaults.maxWaiters()),
        reader.readNumber(table, "age_ms", defaults.maxAgeSeconds() * 1e3) / 1e3,
        reader.readInteger(table, "flights", defaults.maxFlights()),
        reader.readNumber(table, "retries", defaults.retriesPerJoin()));
  }

  /** Reads values from the parsed file; the errors that it reports name the line. */
  private record Reader(String file, String text) {
    void rejectUnknownKeys(JsonNode table, String prefix, List<String> knownKeys)
        throws FormatException {
      for (Iterator<String> fieldNames = table.fieldNames(); fieldNames.hasNext(); ) {
        String name = fieldNames.next();
        if (!knownKeys.contains(name)) {
          throw errorAt(
              name,
              "%s%s is not known; known are %s"
                  .formatted(prefix, name, String.join(", ", knownKeys)));
        }
      }
    }

    /** Returns an optional table, which may have only the known keys. */
    JsonNode readTable(JsonNode root, String name, List<String> knownKeys) throws FormatException {
      JsonNode table = root.path(name);
      if (!table.isMissingNode() && !table.isObject()) {
        throw errorAt(
            name, "%s must be a table: write [%s] on a line of its own".formatted(name, name));
      }
      rejectUnknownKeys(table, name + ".", knownKeys);
      return table;
    }

    int readInteger(JsonNode table, String key, int defaultValue) throws FormatException {
      double value = readNumber(table, key, defaultValue);
      if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
        throw errorAt(key, key + " must be a whole number, such as " + defaultValue);
      }
      return (int) value;
    }

    double readNumber(JsonNode table, String key, double defaultValue) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return defaultValue;
      }
      if (!value.isNumber()) {
        throw errorAt(key, key + " must be a number, such as " + defaultValue);
      }
      return value.doubleValue();
    }

    boolean readFlag(JsonNode table, String key, boolean defaultValue) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return defaultValue;
      }
      if (!value.isBoolean()) {
        throw errorAt(key, key + " must be true or false, without quotes");
      }
      return value.booleanValue();
    }

    FormatException errorAt(String key, String problem) {
      return new FormatException("%s, line %d: %s".formatted(file, lineOf(key), problem));
    }

    /** The number of the first line with the key; 1 if no line is found, as for unusual quotes. */
    private int lineOf(String key) {
      Pattern keyPattern =
          Pattern.compile(
              "^\\s*[\\[\"']*([\\w-]+\\.)*" + Pattern.quote(key) + "[\"'\\]]*\\s*(=|$)");
      List<String> lines = text.lines().toList();
      for (int i = 0; i < lines.size(); i++) {
        if (keyPattern.matcher(lines.get(i)).find()) {
          return i + 1;
        }
      }
      return 1;
    }
  }
}
