package shalepaddle.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import shalepaddle.capacity.CapacityRun;
import shalepaddle.capacity.FleetSize;
import shalepaddle.capacity.Slope;
import shalepaddle.capacity.SlopeChart;

/**
 * Measures costs of the nodes, the cache servers, discovery and the change feed, such as CPU time
 * and memory, at several fleet sizes up to the requested one and at twice that size, and fits a
 * line to each.
 */
@Command(
    name = "capacity",
    description =
        "Measures how costs such as CPU time and memory grow with the fleet, using nodes without"
            + " sockets.",
    mixinStandardHelpOptions = true)
final class CapacityCommand implements Callable<Integer> {
  @Option(names = "--nodes", description = "Nodes (default: ${DEFAULT-VALUE}).")
  private int nodes = FleetSize.PLANNED.nodes();

  @Option(names = "--servers", description = "Cache servers (default: ${DEFAULT-VALUE}).")
  private int servers = FleetSize.PLANNED.servers();

  @Option(
      names = "--zones",
      description = "Zones that contain servers (default: ${DEFAULT-VALUE}).")
  private int zones = FleetSize.PLANNED.zones();

  @Option(
      names = "--rate",
      description = "Requests per second to all nodes together (default: ${DEFAULT-VALUE}).")
  private double requestsPerSecond = FleetSize.PLANNED.perSecond();

  @Option(
      names = "--seconds",
      description = "Virtual seconds measured at each size (default: ${DEFAULT-VALUE}).")
  private double seconds = 2;

  @Option(names = "--seed", description = "Seed of the random numbers (default: ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(
      names = "--role",
      split = ",",
      description = "What to measure: ${COMPLETION-CANDIDATES} (default: all).")
  private Set<CapacityRun.Role> roles = EnumSet.allOf(CapacityRun.Role.class);

  @Option(
      names = "--json",
      paramLabel = "FILE",
      description = "Writes all measured points to this file as well.")
  private Path jsonFile;

  @Option(
      names = "--picture",
      paramLabel = "FILE",
      description = "Draws a chart of each measured cost by fleet size into this PNG file.")
  private Path chartFile;

  @Spec private CommandSpec spec;

  private final PrintStream out;

  CapacityCommand() {
    this(System.out);
  }

  CapacityCommand(PrintStream out) {
    this.out = out;
  }

  /** The results of a run, as they are written to the JSON file. */
  private record Report(
      FleetSize size, long seed, double seconds, List<Slope> slopes, long peakBytes) {}

  @Override
  public Integer call() throws Exception {
    FleetSize size;
    try {
      size = new FleetSize(nodes, servers, requestsPerSecond, zones);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
    long availableBytes = Math.min(physicalMemoryBytes() / 2, Runtime.getRuntime().maxMemory());
    if (size.expectedBytes() > availableBytes) {
      System.err.printf(
          "capacity: %d nodes and %d servers would need up to %d MB including the step at twice"
              + " that size, but only %d MB may be used%n",
          nodes, servers, size.expectedBytes() >> 20, availableBytes >> 20);
      return 2;
    }
    long startedAtNanos = System.nanoTime();
    List<Slope> fittedLines = CapacityRun.measure(size, roles, seconds, seed, System.err::println);
    for (Slope line : fittedLines) {
      int requestedSize = line.size().equals("nodes") ? nodes : servers;
      out.printf(
          "%-12s  %-40s %12.4g %-8s at %d %s = %.4g x size + %.4g, deviation up to %.0f%%%n",
          line.role(),
          line.figure(),
          line.valueAt(requestedSize),
          line.unit(),
          requestedSize,
          line.size(),
          line.slope(),
          line.constant(),
          100 * line.noise());
    }
    long peakBytes = peakResidentBytes();
    out.printf(
        "seed %d, took %.0f s, peak memory %d MB of %d MB that may be used%n",
        seed,
        (System.nanoTime() - startedAtNanos) / 1e9,
        peakBytes >> 20,
        (physicalMemoryBytes() / 2) >> 20);
    if (jsonFile != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(jsonFile.toFile(), new Report(size, seed, seconds, fittedLines, peakBytes));
    }
    if (chartFile != null) {
      SlopeChart.draw(chartFile, fittedLines, nodes, servers);
    }
    return peakBytes > physicalMemoryBytes() / 2 ? 1 : 0;
  }

  private static long physicalMemoryBytes() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getTotalMemorySize();
  }

  /** Returns the peak resident memory of this process. */
  private static long peakResidentBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) << 10;
      }
    }
    throw new IOException("/proc/self/status has no VmHWM");
  }
}
