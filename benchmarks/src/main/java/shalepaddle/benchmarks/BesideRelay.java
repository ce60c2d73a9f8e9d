package shalepaddle.benchmarks;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.stream.IntStream;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures requests per second through nodes and through a bare byte relay, for comparison. The
 * nodes and the relay run as separate processes, which take turns on the same core within one run.
 * The startup time and the memory of each process are measured as well.
 */
@Command(
    name = "beside-relay",
    description = "Compares nodes with a bare byte relay, each on one core, in turn.",
    mixinStandardHelpOptions = true)
public final class BesideRelay implements Callable<Integer> {
  /**
   * A measurement is valid if at most this fraction of its answers has no value. A refusal takes
   * less processor time than a served request, so that refusals distort the rate.
   */
  private static final double MAX_REFUSED_RATIO = 0.01;

  @Mixin private NodeOptions nodes;

  @Option(
      names = "--rounds",
      description = "Measurements of each process (default: ${DEFAULT-VALUE}).")
  private int rounds = 5;

  @Option(
      names = "--seconds",
      description = "Seconds of each measurement (default: ${DEFAULT-VALUE}).")
  private int measuredSeconds = 5;

  @Option(
      names = "--warm",
      description = "Warm-up seconds before each measurement (default: ${DEFAULT-VALUE}).")
  private int warmSeconds = 4;

  @Option(names = "--connections", description = "Client connections (default: ${DEFAULT-VALUE}).")
  private int connections = 64;

  @Option(names = "--value", description = "Bytes of a value (default: ${DEFAULT-VALUE}).")
  private int valueBytes = 100;

  private final Map<String, List<Double>> servedPerSecondByName = new LinkedHashMap<>();
  private final Map<String, List<Double>> startupMillisByName = new LinkedHashMap<>();
  private final Map<String, List<Double>> memoryMegabytesByName = new LinkedHashMap<>();

  /** The number of measurements with more refusals than {@link #MAX_REFUSED_RATIO} allows. */
  private int invalidMeasurementCount;

  @Override
  public Integer call() throws Exception {
    try (StubCacheServers servers = new StubCacheServers(8, valueBytes)) {
      int port = MeasuredProcess.findFreePort();
      List<MeasuredProcess> processes = new ArrayList<>();
      processes.add(createRelay(port, servers));
      processes.addAll(nodes.processes(port, servers));
      for (int round = 1; round <= rounds; round++) {
        for (MeasuredProcess process : processes) {
          measure(round, process, port);
        }
      }
    }
    printSummary();
    if (invalidMeasurementCount > 0) {
      System.err.printf(
          "%d measurements had over 1%% refused answers: the ratios are invalid%n",
          invalidMeasurementCount);
      return 1;
    }
    return 0;
  }

  private MeasuredProcess createRelay(int port, StubCacheServers servers) {
    List<String> arguments =
        new ArrayList<>(
            List.of(
                "-cp",
                System.getProperty("java.class.path"),
                Relay.class.getName(),
                Integer.toString(port)));
    servers.ports().forEach(server -> arguments.add(Integer.toString(server)));
    return MeasuredProcess.javaProcess("relay", arguments);
  }

  private void measure(int round, MeasuredProcess process, int port) throws Exception {
    long startNanos = System.nanoTime();
    try (MeasuredProcess.RunningProcess runningProcess = nodes.start(process, port)) {
      double startupMillis = (System.nanoTime() - startNanos) / 1e6;
      double megabytes = runningProcess.residentMegabytes();
      ClosedLoopLoad.Result result =
          ClosedLoopLoad.run(port, connections, warmSeconds, measuredSeconds);
      addFigure(servedPerSecondByName, process.name(), result.servedPerSecond());
      invalidMeasurementCount += result.refusedRatio() > MAX_REFUSED_RATIO ? 1 : 0;
      addFigure(startupMillisByName, process.name(), startupMillis);
      addFigure(memoryMegabytesByName, process.name(), megabytes);
      System.out.printf(
          "round %d  %-10s %8.0f served/s  p99 %5d us  %d refused (%.2f%%)  start %5.0f ms"
              + "  %4.0f MB%n",
          round,
          process.name(),
          result.servedPerSecond(),
          result.p99Micros(),
          result.refusedCount(),
          100 * result.refusedRatio(),
          startupMillis,
          megabytes);
    }
  }

  private static void addFigure(
      Map<String, List<Double>> figuresByName, String processName, double value) {
    figuresByName.computeIfAbsent(processName, n -> new ArrayList<>()).add(value);
  }

  private void printSummary() {
    System.out.println();
    for (String name : servedPerSecondByName.keySet()) {
      List<Double> ratiosToRelay =
          IntStream.range(0, rounds)
              .mapToObj(
                  i ->
                      servedPerSecondByName.get(name).get(i)
                          / servedPerSecondByName.get("relay").get(i))
              .toList();
      System.out.printf(
          "%-10s ratio to the relay %s   requests/s %s   start ms %s   MB %s%n",
          name,
          Figures.medianAndRange(ratiosToRelay, "%.3f"),
          Figures.medianAndRange(servedPerSecondByName.get(name), "%.0f"),
          Figures.medianAndRange(startupMillisByName.get(name), "%.0f"),
          Figures.medianAndRange(memoryMegabytesByName.get(name), "%.1f"));
    }
  }
}
