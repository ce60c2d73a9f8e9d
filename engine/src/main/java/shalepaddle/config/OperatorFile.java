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
import shalepaddle.overload.Tuning;
import shalepaddle.settings.FormatException;

/**
 * What an operator sets, in a TOML file: all that the platform's configuration does not tell. Every
 * table and key may be absent; one that is not known is an error, since it is most likely a slip of
 * the pen.
 *
 * @param overload the figures of shedding
 */
public record OperatorFile(Tuning overload) {
  /** Without a file. */
  public static final OperatorFile USUAL = new OperatorFile(Tuning.USUAL);

  private static final List<String> TABLES = List.of("overload");

  private static final List<String> OVERLOAD =
      List.of("shed", "target_ms", "learn", "repeats", "waits_ms", "advice_ms");

  /**
   * Reads and checks the file.
   *
   * @param file null for none, which is the usual
   * @throws FormatException names the file, the line and what would be right
   */
  public static OperatorFile load(String file) throws FormatException {
    if (file == null) {
      return USUAL;
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
    JsonNode overload = root.path("overload");
    if (!overload.isMissingNode() && !overload.isObject()) {
      throw reader.wrong(
          "overload", "overload must be a table: write [overload] on a line of its own");
    }
    reader.onlyKnown(overload, "overload.", OVERLOAD);
    Tuning usual = Tuning.USUAL;
    try {
      return new OperatorFile(
          new Tuning(
              reader.flag(overload, "shed", usual.sheds()),
              reader.number(overload, "target_ms", usual.target() * 1e3) / 1e3,
              reader.number(overload, "learn", usual.learn()),
              reader.number(overload, "repeats", usual.repeats()),
              reader.number(overload, "waits_ms", usual.waits() * 1e3) / 1e3,
              reader.number(overload, "advice_ms", usual.advice() * 1e3) / 1e3));
    } catch (IllegalArgumentException e) {
      throw reader.wrong(e.getMessage().split(" ")[0], e.getMessage());
    }
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
