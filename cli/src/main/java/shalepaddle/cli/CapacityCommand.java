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

/** Measures what each role costs in steps up to a size, and one step beyond. */
@Command(
    name = "capacity",
    description = "Measures what each role costs as the fleet grows, with hollow nodes.",
    mixinStandardHelpOptions = true)
final class CapacityCommand implements Callable<Integer> {
  @Option(names = "--nodes", description = "Nodes (default: ${DEFAULT-VALUE}).")
  private int nodes = FleetSize.COMING.nodes();

  @Option(names = "--servers", description = "Cache servers (default: ${DEFAULT-VALUE}).")
  private int servers = FleetSize.COMING.servers();

  @Option(names = "--zones", description = "Zones of servers (default: ${DEFAULT-VALUE}).")
  private int zones = FleetSize.COMING.zones();

  @Option(
      names = "--rate",
      description = "Requests a second, all nodes together (default: ${DEFAULT-VALUE}).")
  private double perSecond = FleetSize.COMING.perSecond();

  @Option(
      names = "--seconds",
      description = "Virtual seconds counted in each fleet (default: ${DEFAULT-VALUE}).")
  private double seconds = 2;

  @Option(names = "--seed", description = "For all that is drawn (default: ${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(
      names = "--role",
      split = ",",
      description = "Which: ${COMPLETION-CANDIDATES} (default: all).")
  private Set<CapacityRun.Role> roles = EnumSet.allOf(CapacityRun.Role.class);

  @Option(names = "--json", paramLabel = "FILE", description = "Writes all points there as well.")
  private Path json;

  @Option(names = "--picture", paramLabel = "FILE", description = "Draws all slopes there, as PNG.")
  private Path picture;

  @Spec private CommandSpec spec;

  private final PrintStream out;

  CapacityCommand() {
    this(System.out);
  }

  CapacityCommand(PrintStream out) {
    this.out = out;
  }

  /** All that a run gave. */
  private record Report(
      FleetSize size, long seed, double seconds, List<Slope> slopes, long peakBytes) {}

  @Override
  public Integer call() throws Exception {
    FleetSize size;
    try {
      size = new FleetSize(nodes, servers, perSecond, zones);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
    long most = Math.min(machineBytes() / 2, Runtime.getRuntime().maxMemory());
    if (size.expectedBytes() > most) {
      System.err.printf(
          "scale: %d nodes and %d servers would take up to %d MB with the step beyond them, %d MB"
              + " may be used%n",
          nodes, servers, size.expectedBytes() >> 20, most >> 20);
      return 2;
    }
    long began = System.nanoTime();
    List<Slope> slopes = CapacityRun.measure(size, roles, seconds, seed, System.err::println);
    for (Slope slope : slopes) {
      int asked = slope.size().equals("nodes") ? nodes : servers;
      out.printf(
          "%-12s  %-40s %12.4g %-8s at %d %s = %.4g x size + %.4g, off by %.0f%% at most%n",
          slope.role(),
          slope.figure(),
          slope.at(asked),
          slope.unit(),
          asked,
          slope.size(),
          slope.slope(),
          slope.constant(),
          100 * slope.noise());
    }
    long peak = peakBytes();
    out.printf(
        "seed %d, %.0f s, peak of memory %d MB of %d MB that may be used%n",
        seed, (System.nanoTime() - began) / 1e9, peak >> 20, (machineBytes() / 2) >> 20);
    if (json != null) {
      new ObjectMapper()
          .writerWithDefaultPrettyPrinter()
          .writeValue(json.toFile(), new Report(size, seed, seconds, slopes, peak));
    }
    if (picture != null) {
      SlopeChart.draw(picture, slopes, nodes, servers);
    }
    return peak > machineBytes() / 2 ? 1 : 0;
  }

  private static long machineBytes() {
    return ((com.sun.management.OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean())
        .getTotalMemorySize();
  }

  /** The most that this process has had resident. */
  private static long peakBytes() throws IOException {
    for (String line : Files.readAllLines(Path.of("/proc/self/status"))) {
      if (line.startsWith("VmHWM:")) {
        return Long.parseLong(line.replaceAll("\\D", "")) << 10;
      }
    }
    throw new IOException("/proc/self/status has no VmHWM");
  }
}
