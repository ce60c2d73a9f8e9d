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
 * What an operator sets, in a TOML file: all that the platform's configuration does not tell. Every
 * table and key may be absent; one that is not known is an error, since it is most likely a slip of
 * the pen.
 *
 * @param overload the figures of shedding
 * @param coalescing whether and how like reads share an answer
 */
public record OperatorFile(OverloadConfig overload, CoalescingConfig coalescing) {
  /** Without a file. */
  public static final OperatorFile DEFAULTS =
      new OperatorFile(OverloadConfig.DEFAULT, CoalescingConfig.OFF);

  private static final List<String> TABLES = List.of("overload", "joining");

  private static final List<String> OVERLOAD =
      List.of("shed", "target_ms", "learn", "repeats", "waits_ms", "advice_ms");

  private static final List<String> JOINING =
      List.of("join", "across_tenants", "callers", "age_ms", "flights", "retries");

  /**
   * Reads and checks the file.
   *
   * @param file null for none, which is the usual
   * @throws FormatException names the file, the line and what would be right
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
    JsonNode overload = reader.table(root, "overload", OVERLOAD);
    JsonNode joining = reader.table(root, "joining", JOINING);
    try {
      return new OperatorFile(overload(reader, overload), coalescing(reader, joining));
    } catch (IllegalArgumentException e) {
      throw reader.wrong(e.getMessage().split(" ", 0)[0], e.getMessage());
    }
  }

  private static OverloadConfig overload(Reader reader, JsonNode table) throws FormatException {
    OverloadConfig usual = OverloadConfig.DEFAULT;
    return new OverloadConfig(
        reader.flag(table, "shed", usual.isSheddingEnabled()),
        reader.number(table, "target_ms", usual.targetDelaySeconds() * 1e3) / 1e3,
        reader.number(table, "learn", usual.minAdmittedRatio()),
        reader.number(table, "repeats", usual.retryRatio()),
        reader.number(table, "waits_ms", usual.maxQueueSeconds() * 1e3) / 1e3,
        reader.number(table, "advice_ms", usual.minRetryAfterSeconds() * 1e3) / 1e3);
  }

  private static CoalescingConfig coalescing(Reader reader, JsonNode table) throws FormatException {
    CoalescingConfig usual = CoalescingConfig.OFF;
    return new CoalescingConfig(
        reader.flag(table, "join", usual.enabled()),
        reader.flag(table, "across_tenants", usual.acrossTenants()),
        reader.whole(table, "callers", usual.maxWaiters()),
        reader.number(table, "age_ms", usual.maxAgeSeconds() * 1e3) / 1e3,
        reader.whole(table, "flights", usual.maxFlights()),
        reader.number(table, "retries", usual.retriesPerJoin()));
  }

  /** Reads values, and says in which line one is wrong. */
  private record Reader(String file, String text) {
    void onlyKnown(JsonNode table, String prefix, List<String> known) throws FormatException {
      for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
        String name = names.next();
        if (!known.contains(name)) {
          throw wrong(
              name,
              "%s%s is not known; known are %s".formatted(prefix, name, String.join(", ", known)));
        }
      }
    }

    /** The table of this name, which may be absent, with no other keys than these. */
    JsonNode table(JsonNode root, String name, List<String> known) throws FormatException {
      JsonNode table = root.path(name);
      if (!table.isMissingNode() && !table.isObject()) {
        throw wrong(
            name, "%s must be a table: write [%s] on a line of its own".formatted(name, name));
      }
      onlyKnown(table, name + ".", known);
      return table;
    }

    int whole(JsonNode table, String key, int usual) throws FormatException {
      double value = number(table, key, usual);
      if (value != Math.rint(value) || Math.abs(value) > Integer.MAX_VALUE) {
        throw wrong(key, key + " must be a whole number, such as " + usual);
      }
      return (int) value;
    }

    double number(JsonNode table, String key, double usual) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return usual;
      }
      if (!value.isNumber()) {
        throw wrong(key, key + " must be a number, such as " + usual);
      }
      return value.doubleValue();
    }

    boolean flag(JsonNode table, String key, boolean usual) throws FormatException {
      JsonNode value = table.path(key);
      if (value.isMissingNode()) {
        return usual;
      }
      if (!value.isBoolean()) {
        throw wrong(key, key + " must be true or false, without quotes");
      }
      return value.booleanValue();
    }

    FormatException wrong(String key, String what) {
      return new FormatException("%s, line %d: %s".formatted(file, line(key), what));
    }

    /** The line that names the key first; 1 if none does, as with an odd way of quoting. */
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
