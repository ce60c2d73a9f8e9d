package shalepaddle.hotrestart;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import shalepaddle.model.LoadReport;
import shalepaddle.model.Observation;
import shalepaddle.model.Outcome;
import shalepaddle.model.Request;
import shalepaddle.settings.FormatException;

/**
 * The file format of {@link Observation}s: a JSON array of arrays in a {@link Frame}. Request ids
 * are not stored. Elements that a later version appends to the array of an observation are skipped.
 */
final class ObservationFormat {
  private static final String VERSION = "shalepaddle-seen-1";
  private static final JsonFactory FACTORY = new JsonFactory();

  private ObservationFormat() {}

  static byte[] write(List<Observation> observations) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator json = FACTORY.createGenerator(text)) {
      json.writeStartArray();
      for (Observation observation : observations) {
        writeObservation(json, observation);
      }
      json.writeEndArray();
    }
    return Frame.wrap(VERSION, text.toString());
  }

  private static void writeObservation(JsonGenerator json, Observation observation)
      throws IOException {
    Request request = observation.request();
    Outcome outcome = observation.outcome();
    json.writeStartArray();
    json.writeNumber(observation.endedAtSeconds());
    json.writeNumber(outcome.server());
    json.writeString(storedName(outcome.result()));
    json.writeString(outcome.cacheStatus().name());
    json.writeNumber(outcome.elapsedSeconds());
    json.writeNumber(outcome.stalledSeconds());
    json.writeString(request.key());
    json.writeString(request.serviceClass());
    json.writeString(request.tenant());
    json.writeNumber(request.budgetSeconds());
    json.writeNumber(request.workSeconds());
    json.writeNumber(request.sizeBytes());
    json.writeBoolean(request.isRetry());
    json.writeBoolean(request.isWrite());
    if (outcome.load() != null) {
      LoadReport load = outcome.load();
      for (double value :
          new double[] {
            load.requestsInFlight(),
            load.queuedRequests(),
            load.utilization(),
            load.latencyMillis(),
            load.requestsPerSecond(),
            load.errorsPerSecond(),
            load.deploymentValue0(),
            load.deploymentValue1()
          }) {
        json.writeNumber(value); // The generator writes a value that is not finite as a string.
      }
    }
    json.writeEndArray();
  }

  static List<Observation> read(byte[] file) throws FormatException {
    try (JsonParser json = FACTORY.createParser(Frame.unwrap(VERSION, file))) {
      requireToken(json, JsonToken.START_ARRAY);
      List<Observation> observations = new ArrayList<>();
      while (json.nextToken() != JsonToken.END_ARRAY) {
        observations.add(readObservation(json));
      }
      return observations;
    } catch (IOException | IllegalArgumentException e) {
      throw new FormatException("malformed observations: " + e.getMessage());
    }
  }

  private static Observation readObservation(JsonParser json) throws IOException {
    double endedAtSeconds = readNumber(json);
    json.nextToken();
    long server = json.getLongValue();
    Outcome.Result result = resultOf(json.nextTextValue());
    Outcome.CacheStatus cacheStatus = Outcome.CacheStatus.valueOf(json.nextTextValue());
    double elapsedSeconds = readNumber(json);
    double stalledSeconds = readNumber(json);
    String key = json.nextTextValue();
    String service = json.nextTextValue();
    String tenant = json.nextTextValue();
    double budgetSeconds = readNumber(json);
    double workSeconds = readNumber(json);
    double sizeBytes = readNumber(json);
    boolean isRetry = Boolean.TRUE.equals(json.nextBooleanValue());
    boolean isWrite = Boolean.TRUE.equals(json.nextBooleanValue());
    LoadReport load = null;
    if (json.nextToken() != JsonToken.END_ARRAY) {
      load =
          new LoadReport(
              readCurrentNumber(json),
              readNumber(json),
              readNumber(json),
              readNumber(json),
              readNumber(json),
              readNumber(json),
              readNumber(json),
              readNumber(json));
      while (json.nextToken() != JsonToken.END_ARRAY) {
        json.skipChildren();
      }
    }
    return new Observation(
        endedAtSeconds,
        new Request(
            "", key, service, tenant, budgetSeconds, workSeconds, sizeBytes, isRetry, isWrite),
        new Outcome(
            "", 0, server, result, elapsedSeconds, stalledSeconds, true, cacheStatus, load));
  }

  /** The name of a result in the file, which is the same in all versions of the program. */
  private static String storedName(Outcome.Result result) {
    return switch (result) {
      case SERVER_BUSY -> "FULL";
      case NOT_SENT -> "MOOT";
      case CONNECTION_LIMIT_REACHED -> "NO_PLACE";
      case CACHE_MISS -> "NOT_STORED";
      case MALFORMED_RESPONSE -> "SPOILT";
      case OK, ERROR, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED -> result.name();
    };
  }

  /**
   * The result with this name in the file.
   *
   * @throws IllegalArgumentException if no result has this name
   */
  private static Outcome.Result resultOf(String storedName) {
    for (Outcome.Result result : Outcome.Result.values()) {
      if (storedName(result).equals(storedName)) {
        return result;
      }
    }
    throw new IllegalArgumentException("unknown result '" + storedName + "'");
  }

  private static void requireToken(JsonParser json, JsonToken token) throws IOException {
    if (json.nextToken() != token) {
      throw new IOException("expected " + token);
    }
  }

  private static double readNumber(JsonParser json) throws IOException {
    json.nextToken();
    return readCurrentNumber(json);
  }

  private static double readCurrentNumber(JsonParser json) throws IOException {
    return json.currentToken() == JsonToken.VALUE_STRING
        ? Double.parseDouble(json.getText())
        : json.getDoubleValue();
  }
}
