package shalepaddle.benchmarks;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import shalepaddle.testkit.EffectLog;
import shalepaddle.testkit.LoopbackTransport;
import shalepaddle.testkit.ServerModel;
import shalepaddle.testkit.StandInClients;
import shalepaddle.testkit.StandInOrigin;
import shalepaddle.testkit.StandInServer;
import shalepaddle.testkit.Traffic;

/**
 * Measures how many fetches from the origin request coalescing saves if caches are cold and popular
 * keys are written. A node without coalescing and one with it take turns, and before each
 * measurement the servers have just started.
 */
@Command(
    name = "cold-caches",
    description = "Measures fetches from the origin with and without coalescing, with cold caches.",
    mixinStandardHelpOptions = true)
final class ColdCaches implements Callable<Integer> {
  private static final int SERVER_COUNT = 8;

  @Option(
      names = "--rounds",
      description = "Measurements of each node (default: ${DEFAULT-VALUE}).")
  private int rounds = 5;

  @Option(
      names = "--seconds",
      description = "Seconds of each measurement (default: ${DEFAULT-VALUE}).")
  private int measuredSeconds = 6;

  @Option(names = "--rate", description = "Requests per second (default: ${DEFAULT-VALUE}).")
  private double requestsPerSecond = 800;

  @Option(names = "--keys", description = "Number of keys (default: ${DEFAULT-VALUE}).")
  private int keyCount = 2000;

  @Option(
      names = "--skew",
      description = "Exponent of Zipf's law for keys (default: ${DEFAULT-VALUE}).")
  private double zipfExponent = 1;

  @Option(names = "--writes", description = "Fraction of writes (default: ${DEFAULT-VALUE}).")
  private double writeRatio = 0.02;

  @Option(
      names = "--origin-workers",
      description =
          "Fetches that the origin runs in parallel, 60 ms each (default: ${DEFAULT-VALUE}).")
  private int originWorkers = 12;

  @Option(names = "--core", description = "The core that nodes run on (default: ${DEFAULT-VALUE}).")
  private int core = 1;

  @Option(
      names = "--picture",
      paramLabel = "FILE",
      description = "Writes a chart to this PNG file.")
  private Path chartFile;

  /**
   * The result of one measurement of one node.
   *
   * @param fetchCount the number of fetches from the origin
   * @param p50Millis median response time
   * @param p99Millis 99th percentile of the response time
   */
  private record Measurement(
      int requestCount,
      int servedCount,
      int refusedCount,
      int failedCount,
      int fetchCount,
      double p50Millis,
      double p99Millis) {}

  private final Map<String, List<Measurement>> measurementsByNode = new LinkedHashMap<>();

  @Override
  public Integer call() throws Exception {
    Path directory = Files.createTempDirectory("cold-caches");
    Path coalescingFile = directory.resolve("joining.toml");
    Files.writeString(coalescingFile, "[joining]\njoin = true\n");
    for (int round = 1; round <= rounds; round++) {
      measure(round, "alone", directory, null);
      measure(round, "joined", directory, coalescingFile);
    }
    printSummary();
    if (chartFile != null) {
      drawCharts();
    }
    return 0;
  }

  private void measure(int round, String nodeName, Path directory, Path operatorFile)
      throws Exception {
    var group = new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    EventLoop loop = group.next();
    LoopbackTransport transport = LoopbackTransport.sockets(loop);
    EffectLog effects = new EffectLog();
    StandInOrigin origin = new StandInOrigin(transport, round, originWorkers, 0.06);
    List<StandInServer> fleet = new ArrayList<>();
    try {
      for (int i = 0; i < SERVER_COUNT; i++) {
        new StandInServer(
                transport, "s" + i, "a", ServerModel.defaults(), origin, effects, fleet, i)
            .start()
            .sync();
      }
      int port = MeasuredProcess.findFreePort();
      Path configFile = directory.resolve(nodeName + ".json");
      List<Integer> ports =
          fleet.stream()
              .map(server -> Integer.parseInt(server.address().split(":", 0)[1]))
              .toList();
      Files.writeString(configFile, MeasuredProcess.createNodeConfig(port, ports));
      String[] arguments =
          operatorFile == null
              ? new String[0]
              : new String[] {"--operator", operatorFile.toString()};
      try (MeasuredProcess.RunningProcess runningNode =
          MeasuredProcess.nodeProcess(nodeName, Path.of(""), configFile, arguments)
              .start(core, port)) {
        Measurement measurement =
            runClients(transport, loop, effects, origin, port, round, operatorFile != null);
        measurementsByNode.computeIfAbsent(nodeName, n -> new ArrayList<>()).add(measurement);
        System.out.printf(
            "round %d  %-6s requests %d  served %d  refused %d  failed %d  fetches %d"
                + "  p50 %.0f ms  p99 %.0f ms  %.1f MB%n",
            round,
            nodeName,
            measurement.requestCount(),
            measurement.servedCount(),
            measurement.refusedCount(),
            measurement.failedCount(),
            measurement.fetchCount(),
            measurement.p50Millis(),
            measurement.p99Millis(),
            runningNode.residentMegabytes());
      }
      loop.submit(() -> fleet.forEach(StandInServer::kill)).sync();
    } finally {
      group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    }
  }

  private Measurement runClients(
      LoopbackTransport transport,
      EventLoop loop,
      EffectLog effects,
      StandInOrigin origin,
      int port,
      int round,
      boolean isCoalescing)
      throws Exception {
    Traffic traffic =
        new Traffic(
            requestsPerSecond,
            keyCount,
            zipfExponent,
            List.of(
                new Traffic.RequestClass("read", 1 - writeRatio, false, false, 2000, 0),
                new Traffic.RequestClass("put", writeRatio, true, false, 1000, 20)),
            0);
    StandInClients clients = new StandInClients(transport, effects, traffic, 50, 900, 100 + round);
    if (isCoalescing) {
      clients.allowSharedResponses();
    }
    loop.submit(
            () -> {
              clients.addTarget(
                  "node", new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
              clients.run(measuredSeconds * 1000L);
            })
        .sync();
    TimeUnit.MILLISECONDS.sleep(measuredSeconds * 1000L + 2500);
    return loop.submit(
            () -> {
              clients.violations().forEach(text -> System.out.println("violation: " + text));
              Histogram latencyMicros = clients.latencyMicros();
              Measurement measurement =
                  new Measurement(
                      clients.requests(),
                      clients.servedRequests(),
                      clients.refusedRequests(),
                      clients.failedRequests(),
                      origin.fetches(),
                      latencyMicros.getValueAtPercentile(50) / 1e3,
                      latencyMicros.getValueAtPercentile(99) / 1e3);
              clients.close();
              return measurement;
            })
        .get();
  }

  private void printSummary() {
    System.out.println();
    measurementsByNode.forEach(
        (name, nodeMeasurements) ->
            System.out.printf(
                "%-6s fetches %s   p99 ms %s   served per 1000 requests %s%n",
                name,
                medianAndRange(nodeMeasurements, Measurement::fetchCount),
                medianAndRange(nodeMeasurements, Measurement::p99Millis),
                medianAndRange(nodeMeasurements, m -> 1e3 * m.servedCount() / m.requestCount())));
    List<Measurement> measurementsWithoutCoalescing = measurementsByNode.get("alone");
    List<Measurement> measurementsWithCoalescing = measurementsByNode.get("joined");
    List<Double> ratios = new ArrayList<>();
    for (int i = 0; i < rounds; i++) {
      ratios.add(
          (double) measurementsWithCoalescing.get(i).fetchCount()
              / measurementsWithoutCoalescing.get(i).fetchCount());
    }
    System.out.printf(
        "fetches with coalescing, as a ratio to those without, per round, ascending: %s%n",
        ratios.stream().sorted().map("%.3f"::formatted).toList());
  }

  private static String medianAndRange(
      List<Measurement> measurements, ToDoubleFunction<Measurement> figure) {
    return Figures.medianAndRange(
        measurements.stream().mapToDouble(figure).boxed().toList(), "%.0f");
  }

  private void drawCharts() throws Exception {
    CategoryChart fetchChart = createChart("Fetches from the origin", Measurement::fetchCount);
    CategoryChart p99Chart =
        createChart("99th percentile of response times, ms", Measurement::p99Millis);
    BitmapEncoder.saveBitmap(
        List.of(fetchChart, p99Chart), 1, 2, chartFile.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + chartFile);
  }

  private CategoryChart createChart(String title, ToDoubleFunction<Measurement> figure) {
    CategoryChart chart =
        new CategoryChartBuilder().width(560).height(380).title(title).xAxisTitle("round").build();
    List<Integer> roundNumbers = new ArrayList<>();
    for (int i = 1; i <= rounds; i++) {
      roundNumbers.add(i);
    }
    measurementsByNode.forEach(
        (name, nodeMeasurements) ->
            chart.addSeries(
                name, roundNumbers, nodeMeasurements.stream().map(figure::applyAsDouble).toList()));
    return chart;
  }
}
