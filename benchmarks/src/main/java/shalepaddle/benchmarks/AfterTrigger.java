package shalepaddle.benchmarks;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

/**
 * Measures how nodes recover from disturbances: a start under load, a pause of the process, and a
 * burst of five times the load, one after the other, while clients retry refused requests by one of
 * several policies. Reports how long after each disturbance the goodput, which is the priority
 * weight served in time, stayed below its usual level.
 */
@Command(
    name = "after-trigger",
    description = "Disturbs nodes briefly, and shows how long their goodput stays low.",
    mixinStandardHelpOptions = true)
final class AfterTrigger implements Callable<Integer> {
  /**
   * The usual goodput is measured from this time to the start of the pause. This and the times
   * below are in seconds since the clients started.
   */
  private static final int USUAL_START_SECONDS = 6;

  private static final int PAUSE_START_SECONDS = 10;
  private static final int PAUSE_END_SECONDS = 11;
  private static final int BURST_START_SECONDS = 16;
  private static final int BURST_END_SECONDS = 18;
  private static final int RUN_SECONDS = 24;
  private static final double BURST_FACTOR = 5;

  /** A node has recovered once its goodput reaches this fraction of the usual goodput. */
  private static final double RECOVERED_RATIO = 0.95;

  /** Timeline steps of 0.1 s over which goodput is averaged, since single steps vary too much. */
  private static final int AVERAGED_STEPS = 10;

  @Mixin private NodeOptions nodes;

  @Option(
      names = "--times",
      split = ",",
      description = "Loads, as multiples of the lowest node capacity (default: 0.7,1,3).")
  private double[] multiples = {0.7, 1, 3};

  @Option(
      names = "--again",
      split = ",",
      description =
          "How clients retry refused requests: ${COMPLETION-CANDIDATES} (default: all but NEVER).")
  private OpenLoopLoad.RetryPolicy[] retryPolicies = {
    OpenLoopLoad.RetryPolicy.AT_ONCE,
    OpenLoopLoad.RetryPolicy.ADVISED,
    OpenLoopLoad.RetryPolicy.BACK_OFF
  };

  @Option(names = "--connections", description = "Client connections (default: ${DEFAULT-VALUE}).")
  private int connections = 256;

  @Option(names = "--writes", description = "Fraction of writes (default: ${DEFAULT-VALUE}).")
  private double writeRatio = 0.08;

  @Option(
      names = "--repeats",
      description = "Maximum number of retries of a request (default: ${DEFAULT-VALUE}).")
  private int maxRetries = 1000;

  @Option(
      names = "--picture",
      paramLabel = "FILE",
      description = "Writes a chart to this PNG file.")
  private Path chartFile;

  /**
   * The run of one node under one load.
   *
   * @param capacityMultiple the offered load, in multiples of the lowest node capacity
   * @param usualGoodput the priority weight served in time before the pause, per second
   */
  private record NodeRun(
      String name,
      double capacityMultiple,
      OpenLoopLoad.RetryPolicy retryPolicy,
      OpenLoopLoad.Result result,
      double usualGoodput) {

    /**
     * Returns the seconds from {@code fromSecond} until the goodput, averaged over one second, is
     * at its usual level again, or infinity if it does not get there before {@code untilSecond}.
     */
    double recoverySeconds(int fromSecond, int untilSecond) {
      double[] goodput = result.timeline().goodput();
      for (int step = 10 * fromSecond; step + AVERAGED_STEPS <= 10 * untilSecond; step++) {
        double meanGoodput =
            Arrays.stream(goodput, step, step + AVERAGED_STEPS).average().orElse(0);
        if (meanGoodput >= RECOVERED_RATIO * usualGoodput) {
          return (step - 10 * fromSecond) / 10.0;
        }
      }
      return Double.POSITIVE_INFINITY;
    }
  }

  private final List<NodeRun> runs = new ArrayList<>();

  @Override
  public Integer call() throws Exception {
    try (StubCacheServers servers = new StubCacheServers(8, 100)) {
      int port = MeasuredProcess.findFreePort();
      List<MeasuredProcess> processes = nodes.processes(port, servers);
      // All nodes get the same load, in multiples of the lowest capacity, to compare their curves.
      double minCapacityPerSecond = Double.POSITIVE_INFINITY;
      for (MeasuredProcess process : processes) {
        try (MeasuredProcess.RunningProcess runningNode = nodes.start(process, port)) {
          double capacityPerSecond = ClosedLoopLoad.run(port, 64, 6, 5).servedPerSecond();
          System.out.printf(
              Locale.ROOT, "%-8s capacity %.0f requests/s%n", process.name(), capacityPerSecond);
          minCapacityPerSecond = Math.min(minCapacityPerSecond, capacityPerSecond);
        }
      }
      for (double capacityMultiple : multiples) {
        for (OpenLoopLoad.RetryPolicy retryPolicy : retryPolicies) {
          for (MeasuredProcess process : processes) {
            runNode(process, port, capacityMultiple, minCapacityPerSecond, retryPolicy);
          }
        }
      }
    }
    if (chartFile != null) {
      drawCharts();
    }
    return 0;
  }

  private void runNode(
      MeasuredProcess process,
      int port,
      double capacityMultiple,
      double capacityPerSecond,
      OpenLoopLoad.RetryPolicy retryPolicy)
      throws Exception {
    double usualRequestsPerSecond = capacityPerSecond * capacityMultiple;
    OpenLoopLoad.Rate rate =
        elapsedNanos -> {
          double seconds = elapsedNanos / 1e9;
          return seconds >= BURST_START_SECONDS && seconds < BURST_END_SECONDS
              ? BURST_FACTOR * usualRequestsPerSecond
              : usualRequestsPerSecond;
        };
    ScheduledExecutorService signalScheduler = Executors.newSingleThreadScheduledExecutor();
    try (MeasuredProcess.RunningProcess runningNode = nodes.start(process, port)) {
      signalScheduler.schedule(
          () -> runningNode.sendSignal("STOP"), PAUSE_START_SECONDS, TimeUnit.SECONDS);
      signalScheduler.schedule(
          () -> runningNode.sendSignal("CONT"), PAUSE_END_SECONDS, TimeUnit.SECONDS);
      OpenLoopLoad.Result result =
          OpenLoopLoad.run(
              port,
              connections,
              new OpenLoopLoad.Workload(rate, writeRatio, retryPolicy, maxRetries, 1),
              0,
              RUN_SECONDS);
      double usualGoodput =
          Arrays.stream(
                  result.timeline().goodput(), 10 * USUAL_START_SECONDS, 10 * PAUSE_START_SECONDS)
              .average()
              .orElse(0);
      NodeRun run =
          new NodeRun(process.name(), capacityMultiple, retryPolicy, result, usualGoodput);
      runs.add(run);
      System.out.printf(
          Locale.ROOT,
          "%-8s x%-4.1f %-8s usual goodput %7.0f weight/s (%.2f of the offered weight),"
              + " refused %7.0f/s;"
              + " recovery after start %.1f s, pause %.1f s, burst %.1f s;"
              + " writes in 300 ms %.1f%%%n",
          run.name(),
          capacityMultiple,
          retryPolicy,
          usualGoodput,
          usualGoodput / (usualRequestsPerSecond * (2 * (1 - writeRatio) + 5 * writeRatio)),
          Arrays.stream(
                  result.timeline().refusals(), 10 * USUAL_START_SECONDS, 10 * PAUSE_START_SECONDS)
              .average()
              .orElse(0),
          run.recoverySeconds(0, PAUSE_START_SECONDS),
          run.recoverySeconds(PAUSE_END_SECONDS, BURST_START_SECONDS),
          run.recoverySeconds(BURST_END_SECONDS, RUN_SECONDS),
          100 * result.writesInTimeRatio());
    } finally {
      signalScheduler.shutdownNow();
    }
  }

  private void drawCharts() throws IOException {
    List<XYChart> charts = new ArrayList<>();
    for (double capacityMultiple : multiples) {
      for (OpenLoopLoad.RetryPolicy retryPolicy : retryPolicies) {
        charts.add(createChart(capacityMultiple, retryPolicy));
      }
    }
    BitmapEncoder.saveBitmap(
        charts,
        multiples.length,
        retryPolicies.length,
        chartFile.toString(),
        BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + chartFile);
  }

  private XYChart createChart(double capacityMultiple, OpenLoopLoad.RetryPolicy retryPolicy) {
    XYChart chart =
        new XYChartBuilder()
            .width(460)
            .height(300)
            .title(capacityMultiple + " times the capacity, " + retryPolicy)
            .xAxisTitle("seconds")
            .yAxisTitle("priority weight served in time, per second")
            .build();
    chart.getStyler().setYAxisMin(0.0);
    for (NodeRun run : runs) {
      if (run.capacityMultiple() == capacityMultiple && run.retryPolicy() == retryPolicy) {
        double[] goodput = run.result().timeline().goodput();
        double[] seconds = IntStream.range(0, goodput.length).mapToDouble(i -> i / 10.0).toArray();
        chart.addSeries(run.name(), seconds, goodput).setMarker(SeriesMarkers.NONE);
      }
    }
    return chart;
  }
}
