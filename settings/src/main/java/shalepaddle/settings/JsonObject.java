package shalepaddle.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * One JSON object, with typed access to its fields: a message of the simulator's wire, a node's
 * configuration, or an endpoint list. Unknown fields are ignored. Immutable.
 */
public final class JsonObject {
  private static final JsonFactory FACTORY = new JsonFactory();
  private final Map<String, Object> fields;

  private JsonObject(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Parses one JSON object, which must be all of the text. */
  public static JsonObject parse(String line) throws FormatException {
    try (JsonParser parser = FACTORY.createParser(line)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new FormatException("not a JSON object");
      }
      JsonObject object = new JsonObject(object(parser));
      if (parser.nextToken() != null) {
        throw new FormatException("more than one JSON value");
      }
      return object;
    } catch (IOException e) {
      throw new FormatException("not JSON");
    }
  }

  private static Map<String, Object> object(JsonParser parser) throws IOException {
    Map<String, Object> map = new HashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      map.put(name, value(parser));
    }
    return map;
  }

  private static Object value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> new JsonObject(object(parser));
      case START_ARRAY -> list(parser);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      default -> parser.getText();
    };
  }

  private static List<Object> list(JsonParser parser) throws IOException {
    List<Object> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(value(parser));
    }
    return list;
  }

  private FormatException invalid(String name) {
    String type = fields.get("type") instanceof String text ? text + " " : "";
    String what = fields.get(name) == null ? "without" : "with a wrong value of";
    return new FormatException(type + "message " + what + " field '" + name + "'");
  }

  /** A text that must be there. */
  public String requiredText(String name) throws FormatException {
    if (fields.get(name) instanceof String text) {
      return text;
    }
    throw invalid(name);
  }

  /** A number that must be there. */
  public double requiredNumber(String name) throws FormatException {
    if (fields.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw invalid(name);
  }

  /** An integer that must be there. */
  public long requiredInteger(String name) throws FormatException {
    if (fields.get(name) instanceof Number number) {
      return number.longValue();
    }
    throw invalid(name);
  }

  /** A text, or a number as text. */
  public String text(String name, String absent) {
    Object value = fields.get(name);
    if (value instanceof String text) {
      return text;
    }
    return value instanceof Number number ? number.toString() : absent;
  }

  /** A number. */
  public double number(String name, double absent) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : absent;
  }

  /** Whether the field is true. */
  public boolean flag(String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  /** The nested object of this name, an empty one where it is absent. */
  public JsonObject nested(String name) {
    return fields.get(name) instanceof JsonObject object ? object : new JsonObject(Map.of());
  }

  /** A nested object that must be there. */
  public JsonObject requiredNested(String name) throws FormatException {
    if (fields.get(name) instanceof JsonObject object) {
      return object;
    }
    throw invalid(name);
  }

  /** Whether the field is there, and not null. */
  public boolean has(String name) {
    return fields.get(name) != null;
  }

  Map<String, Object> fields() {
    return fields;
  }

  /** How many items an array has, 0 where it is absent. */
  int size(String name) {
    return fields.get(name) instanceof List<?> list ? list.size() : 0;
  }

  /** The objects of an array, none where it is absent. */
  public List<JsonObject> objects(String name) {
    List<JsonObject> found = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        if (item instanceof JsonObject object) {
          found.add(object);
        }
      }
    }
    return found;
  }

  /** The items of an array as text, none where it is absent. */
  public List<String> texts(String name) {
    List<String> found = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        found.add(String.valueOf(item));
      }
    }
    return found;
  }
}
