package shalepaddle.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures nodes under overload. First the capacity of each node is measured, with clients that
 * wait for each answer before the next request. Then clients that do not wait for answers send
 * requests at multiples of the capacity.
 */
@Command(
    name = "past-capacity",
    description = "Sends nodes multiples of their capacity, and measures what they serve in time.",
    mixinStandardHelpOptions = true)
final class PastCapacity implements Callable<Integer> {
  @Mixin private NodeOptions nodes;

  @Option(
      names = "--times",
      split = ",",
      description = "Loads, as multiples of each node's capacity (default: 1,3).")
  private double[] multiples = {1, 3};

  @Option(
      names = "--seconds",
      description = "Measured seconds for each multiple (default: ${DEFAULT-VALUE}).")
  private int measuredSeconds = 8;

  @Option(names = "--warm", description = "Warm-up seconds (default: ${DEFAULT-VALUE}).")
  private int warmSeconds = 4;

  @Option(names = "--connections", description = "Client connections (default: ${DEFAULT-VALUE}).")
  private int connections = 256;

  @Option(names = "--writes", description = "Fraction of writes (default: ${DEFAULT-VALUE}).")
  private double writeRatio = 0.08;

  @Option(
      names = "--repeats",
      description = "Maximum number of retries of a request (default: ${DEFAULT-VALUE}).")
  private int maxRetries = 0;

  @Option(
      names = "--picture",
      paramLabel = "FILE",
      description = "Writes a chart to this PNG file.")
  private Path chartFile;

  /** The result of one node at one multiple of its capacity. */
  private record Measurement(
      String nodeName, double capacityMultiple, OpenLoopLoad.Result result) {}

  private final List<Measurement> measurements = new ArrayList<>();

  @Override
  public Integer call() throws Exception {
    try (StubCacheServers servers = new StubCacheServers(8, 100)) {
      int port = MeasuredProcess.findFreePort();
      for (MeasuredProcess process : nodes.processes(port, servers)) {
        measure(process, port);
      }
    }
    if (chartFile != null) {
      drawCharts();
    }
    return 0;
  }

  private void drawCharts() throws IOException {
    XYChart goodputChart =
        createChart("Priority weight served in time, per second", m -> m.result().goodput());
    XYChart writesChart =
        createChart(
            "Writes answered in 300 ms, percent", m -> 100 * m.result().writesInTimeRatio());
    BitmapEncoder.saveBitmap(
        List.of(goodputChart, writesChart),
        1,
        2,
        chartFile.toString(),
        BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + chartFile);
  }

  private XYChart createChart(String title, ToDoubleFunction<Measurement> figure) {
    XYChart chart =
        new XYChartBuilder()
            .width(560)
            .height(380)
            .title(title)
            .xAxisTitle("requests, as a multiple of capacity")
            .build();
    chart.getStyler().setYAxisMin(0.0);
    for (String name : nodes.names()) {
      List<Measurement> nodeMeasurements =
          measurements.stream().filter(m -> m.nodeName().equals(name)).toList();
      chart.addSeries(
          name,
          nodeMeasurements.stream().map(Measurement::capacityMultiple).toList(),
          nodeMeasurements.stream().map(figure::applyAsDouble).toList());
    }
    return chart;
  }

  private void measure(MeasuredProcess process, int port) throws Exception {
    try (MeasuredProcess.RunningProcess runningNode = nodes.start(process, port)) {
      double capacityPerSecond = ClosedLoopLoad.run(port, 64, warmSeconds + 2, 5).servedPerSecond();
      System.out.printf("%-8s capacity %.0f requests/s%n", process.name(), capacityPerSecond);
      double goodputAtFirstMultiple = Double.NaN;
      for (double capacityMultiple : multiples) {
        OpenLoopLoad.Result result =
            OpenLoopLoad.run(
                port,
                connections,
                OpenLoopLoad.Workload.constantRate(
                    capacityPerSecond * capacityMultiple, writeRatio, maxRetries),
                warmSeconds,
                measuredSeconds);
        measurements.add(new Measurement(process.name(), capacityMultiple, result));
        goodputAtFirstMultiple =
            Double.isNaN(goodputAtFirstMultiple) ? result.goodput() : goodputAtFirstMultiple;
        System.out.printf(
            "%-8s x%-4.1f goodput %8.0f weight/s (%.2f of the goodput at the first multiple)"
                + "  writes in 300 ms %6.2f%%  reads in 750 ms %6.2f%%  refused %d  failed %d%n"
                + "             writes ms %s   loop delay ms %s   %.1f MB%n",
            process.name(),
            capacityMultiple,
            result.goodput(),
            result.goodput() / goodputAtFirstMultiple,
            100 * result.writesInTimeRatio(),
            100 * result.readsInTimeRatio(),
            result.refusedCount(),
            result.failedCount(),
            formatPercentilesMillis(result.writeLatencyNanos()),
            formatPercentilesMillis(result.loopDelayNanos()),
            runningNode.residentMegabytes());
      }
    }
  }

  private static String formatPercentilesMillis(Histogram latencyNanos) {
    return "p50 %.1f p99 %.1f max %.1f"
        .formatted(
            latencyNanos.getValueAtPercentile(50) / 1e6,
            latencyNanos.getValueAtPercentile(99) / 1e6,
            latencyNanos.getMaxValue() / 1e6);
  }
}
