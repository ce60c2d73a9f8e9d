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
 * A JSON object with typed access to its fields: a message of the simulator's protocol, a node's
 * configuration, or an endpoint list. Unknown fields are ignored. Immutable.
 */
public final class JsonObject {
  private static final JsonFactory FACTORY = new JsonFactory();
  private final Map<String, Object> fields;

  private JsonObject(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Parses a text that consists of exactly one JSON object. */
  public static JsonObject parse(String json) throws FormatException {
    try (JsonParser parser = FACTORY.createParser(json)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new FormatException("not a JSON object");
      }
      JsonObject object = new JsonObject(readObject(parser));
      if (parser.nextToken() != null) {
        throw new FormatException("more than one JSON value");
      }
      return object;
    } catch (IOException e) {
      throw new FormatException("not JSON");
    }
  }

  private static Map<String, Object> readObject(JsonParser parser) throws IOException {
    Map<String, Object> fieldsByName = new HashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      fieldsByName.put(name, readValue(parser));
    }
    return fieldsByName;
  }

  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> new JsonObject(readObject(parser));
      case START_ARRAY -> readList(parser);
      case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      default -> parser.getText();
    };
  }

  private static List<Object> readList(JsonParser parser) throws IOException {
    List<Object> list = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      list.add(readValue(parser));
    }
    return list;
  }

  private FormatException fieldError(String name) {
    String type = fields.get("type") instanceof String text ? text + " " : "";
    String problem = fields.get(name) == null ? "without" : "with an invalid value of";
    return new FormatException(type + "message " + problem + " field '" + name + "'");
  }

  /** A required text. */
  public String requiredText(String name) throws FormatException {
    if (fields.get(name) instanceof String text) {
      return text;
    }
    throw fieldError(name);
  }

  /** A required number. */
  public double requiredNumber(String name) throws FormatException {
    if (fields.get(name) instanceof Number number) {
      return number.doubleValue();
    }
    throw fieldError(name);
  }

  /** A required number, truncated to an integer. */
  public long requiredInteger(String name) throws FormatException {
    if (fields.get(name) instanceof Number number) {
      return number.longValue();
    }
    throw fieldError(name);
  }

  /** A text, or a number as text; the default value if the field is neither. */
  public String text(String name, String defaultValue) {
    Object value = fields.get(name);
    if (value instanceof String text) {
      return text;
    }
    return value instanceof Number number ? number.toString() : defaultValue;
  }

  /** A number; the default value if the field is not a number. */
  public double number(String name, double defaultValue) {
    return fields.get(name) instanceof Number number ? number.doubleValue() : defaultValue;
  }

  /** Whether the field has the value true. */
  public boolean flag(String name) {
    return Boolean.TRUE.equals(fields.get(name));
  }

  /** A nested object; an empty one if the field is not an object. */
  public JsonObject nested(String name) {
    return fields.get(name) instanceof JsonObject object ? object : new JsonObject(Map.of());
  }

  /** A required nested object. */
  public JsonObject requiredNested(String name) throws FormatException {
    if (fields.get(name) instanceof JsonObject object) {
      return object;
    }
    throw fieldError(name);
  }

  /** Whether the field is present and not null. */
  public boolean has(String name) {
    return fields.get(name) != null;
  }

  Map<String, Object> fields() {
    return fields;
  }

  /** The number of items of an array; 0 if the field is not an array. */
  int size(String name) {
    return fields.get(name) instanceof List<?> list ? list.size() : 0;
  }

  /** The items of an array that are objects; none if the field is not an array. */
  public List<JsonObject> objects(String name) {
    List<JsonObject> objectItems = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        if (item instanceof JsonObject object) {
          objectItems.add(object);
        }
      }
    }
    return objectItems;
  }

  /** The items of an array as text; none if the field is not an array. */
  public List<String> texts(String name) {
    List<String> textItems = new ArrayList<>();
    if (fields.get(name) instanceof List<?> list) {
      for (Object item : list) {
        textItems.add(String.valueOf(item));
      }
    }
    return textItems;
  }
}
