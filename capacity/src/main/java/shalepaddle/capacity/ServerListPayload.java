package shalepaddle.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import shalepaddle.membership.MemberList;
import shalepaddle.settings.FormatException;
import shalepaddle.settings.JsonObject;

/** The list of cache servers on its way to a node: its bytes, and what reading it takes. */
final class ServerListPayload {
  private static final int READS = 200;

  /**
   * What was measured.
   *
   * @param bytes of the whole list in discovery's form
   * @param readMicros to read it, the median
   */
  record Measured(double bytes, double readMicros) {}

  private ServerListPayload() {}

  private static String entry(int server, FleetSize size) {
    return """
        {"id":"s-%08x","addr":"10.%d.%d.18:11211","zone":"z%d","kind":"m2","cell":%d,\
        "state":"active","weight":1.0,"started_ms":1796183058123}"""
        .formatted(server, server % 256, server / 256, server % size.zones(), server / 8);
  }

  static Measured measure(FleetSize size) throws FormatException {
    String list =
        IntStream.range(0, size.servers())
            .mapToObj(server -> entry(server, size))
            .collect(Collectors.joining(",", "{\"version\":41,\"full\":true,\"servers\":[", "]}"));
    List<Double> times = new ArrayList<>();
    for (int i = 0; i < READS; i++) {
      long began = System.nanoTime();
      MemberList read = MemberList.parse(JsonObject.parse(list)).appliedTo(null);
      times.add((System.nanoTime() - began) / 1e3);
      if (read.members().size() != size.servers()) {
        throw new FormatException("a list that lacks some");
      }
    }
    return new Measured(list.getBytes(StandardCharsets.UTF_8).length, DecisionCost.median(times));
  }
}
