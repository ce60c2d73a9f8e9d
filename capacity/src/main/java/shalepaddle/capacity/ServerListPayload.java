package shalepaddle.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import shalepaddle.membership.MemberList;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/** Measures the size of the endpoint list as discovery sends it, and the time to parse it. */
final class ServerListPayload {
  private static final int PARSE_COUNT = 200;

  /**
   * The measured size and time.
   *
   * @param bytes the size of the full endpoint list in discovery's JSON
   * @param parseMicros the median time to parse the list
   */
  record Measurement(double bytes, double parseMicros) {}

  private ServerListPayload() {}

  private static String createEntryJson(int server, FleetSize size) {
    return """
        {"id":"s-%08x","addr":"10.%d.%d.18:11211","zone":"z%d","kind":"m2","cell":%d,\
        "state":"active","weight":1.0,"started_ms":1796183058123}"""
        .formatted(server, server % 256, server / 256, server % size.zones(), server / 8);
  }

  static Measurement measure(FleetSize size) throws FormatException {
    String payload =
        IntStream.range(0, size.servers())
            .mapToObj(server -> createEntryJson(server, size))
            .collect(Collectors.joining(",", "{\"version\":41,\"full\":true,\"servers\":[", "]}"));
    List<Double> parseMicros = new ArrayList<>();
    for (int i = 0; i < PARSE_COUNT; i++) {
      long startNanos = System.nanoTime();
      MemberList parsed = MemberList.parse(JsonObject.parse(payload)).appliedTo(null);
      parseMicros.add((System.nanoTime() - startNanos) / 1e3);
      if (parsed.members().size() != size.servers()) {
        throw new FormatException(
            "parsed %d servers, expected %d".formatted(parsed.members().size(), size.servers()));
      }
    }
    return new Measurement(
        payload.getBytes(StandardCharsets.UTF_8).length, DecisionCost.median(parseMicros));
  }
}
