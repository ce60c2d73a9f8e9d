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
 * What nodes do when they are asked more than they can: each is first measured for what it can do,
 * with clients that wait for their answers, and then asked once and several times as much by
 * clients that do not wait.
 */
@Command(
    name = "past-capacity",
    description = "Asks nodes several times what they can do, and shows what is served in time.",
    mixinStandardHelpOptions = true)
final class PastCapacity implements Callable<Integer> {
  @Mixin private Nodes nodes;

  @Option(
      names = "--times",
      split = ",",
      description = "Multiples of what it can do (default: 1,3).")
  private double[] times = {1, 3};

  @Option(names = "--seconds", description = "Measured for each (default: ${DEFAULT-VALUE}).")
  private int seconds = 8;

  @Option(names = "--warm", description = "Unmeasured before that (default: ${DEFAULT-VALUE}).")
  private int warm = 4;

  @Option(names = "--connections", description = "Clients (default: ${DEFAULT-VALUE}).")
  private int connections = 256;

  @Option(names = "--writes", description = "The part of writes (default: ${DEFAULT-VALUE}).")
  private double writes = 0.08;

  @Option(names = "--repeats", description = "Repeats after a refusal (default: ${DEFAULT-VALUE}).")
  private int repeats = 0;

  @Option(names = "--picture", paramLabel = "FILE", description = "Draws it, as a PNG.")
  private Path picture;

  /** One node at one multiple. */
  private record Measured(String name, double multiple, OpenLoad.Result result) {}

  private final List<Measured> measured = new ArrayList<>();

  @Override
  public Integer call() throws Exception {
    try (Servers servers = new Servers(8, 100)) {
      int port = Subject.freePort();
      for (Subject subject : nodes.subjects(port, servers)) {
        measure(subject, port);
      }
    }
    if (picture != null) {
      draw();
    }
    return 0;
  }

  private void draw() throws IOException {
    XYChart goodput = chart("Worth served in time, a second", m -> m.result().goodput());
    XYChart writes =
        chart("Writes answered in 300 ms, percent", m -> 100 * m.result().writesInTimePart());
    BitmapEncoder.saveBitmap(
        List.of(goodput, writes), 1, 2, picture.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + picture);
  }

  private XYChart chart(String title, ToDoubleFunction<Measured> figure) {
    XYChart chart =
        new XYChartBuilder()
            .width(560)
            .height(380)
            .title(title)
            .xAxisTitle("asked, as a multiple of what it can do")
            .build();
    chart.getStyler().setYAxisMin(0.0);
    for (String name : nodes.names()) {
      List<Measured> own = measured.stream().filter(m -> m.name().equals(name)).toList();
      chart.addSeries(
          name,
          own.stream().map(Measured::multiple).toList(),
          own.stream().map(figure::applyAsDouble).toList());
    }
    return chart;
  }

  private void measure(Subject subject, int port) throws Exception {
    try (Subject.Running running = nodes.start(subject, port)) {
      double able = Load.run(port, 64, warm + 2, 5).perSecond();
      System.out.printf("%-8s can do %.0f/s%n", subject.name(), able);
      double once = Double.NaN;
      for (double multiple : times) {
        OpenLoad.Result result =
            OpenLoad.run(
                port,
                connections,
                OpenLoad.Manner.steady(able * multiple, writes, repeats),
                warm,
                seconds);
        measured.add(new Measured(subject.name(), multiple, result));
        once = Double.isNaN(once) ? result.goodput() : once;
        System.out.printf(
            "%-8s x%-4.1f goodput %8.0f worth/s (%.2f of the first)  writes in 300 ms %6.2f%%"
                + "  reads in 750 ms %6.2f%%  refused %d  failed %d%n"
                + "             writes ms %s   loop delay ms %s   %.1f MB%n",
            subject.name(),
            multiple,
            result.goodput(),
            result.goodput() / once,
            100 * result.writesInTimePart(),
            100 * result.readsInTimePart(),
            result.refused(),
            result.failed(),
            percentiles(result.writeTimes()),
            percentiles(result.loopDelays()),
            running.residentMegabytes());
      }
    }
  }

  private static String percentiles(Histogram nanos) {
    return "p50 %.1f p99 %.1f max %.1f"
        .formatted(
            nanos.getValueAtPercentile(50) / 1e6,
            nanos.getValueAtPercentile(99) / 1e6,
            nanos.getMaxValue() / 1e6);
  }
}
