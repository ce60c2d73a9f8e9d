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
 * Whether a node comes back once what disturbed it is over: a start under load, a pause of its
 * process, a burst of five times the load, one after the other, while clients that are refused come
 * again in one of three ways. Told is for how long after each the worth served in time stood below
 * what it was before.
 */
@Command(
    name = "after-trigger",
    description = "Disturbs nodes for a moment, and shows how long what they serve stays low.",
    mixinStandardHelpOptions = true)
final class AfterTrigger implements Callable<Integer> {
  /** Seconds since the clients began: what is usual is taken from there to the pause. */
  private static final int USUAL_FROM = 6;

  private static final int PAUSE_FROM = 10;
  private static final int PAUSE_TO = 11;
  private static final int BURST_FROM = 16;
  private static final int BURST_TO = 18;
  private static final int END = 24;
  private static final double BURST = 5;

  /** What is as good as what was usual. */
  private static final double BACK = 0.95;

  /** Steps of the timeline over which goodput is taken: single ones differ by chance. */
  private static final int WINDOW = 10;

  @Mixin private Nodes nodes;

  @Option(
      names = "--times",
      split = ",",
      description = "Multiples of what it can do (default: 0.7,1,3).")
  private double[] times = {0.7, 1, 3};

  @Option(
      names = "--again",
      split = ",",
      description = "When refused clients come again: ${COMPLETION-CANDIDATES} (default: three).")
  private OpenLoad.Again[] manners = {
    OpenLoad.Again.AT_ONCE, OpenLoad.Again.ADVISED, OpenLoad.Again.BACK_OFF
  };

  @Option(names = "--connections", description = "Clients (default: ${DEFAULT-VALUE}).")
  private int connections = 256;

  @Option(names = "--writes", description = "The part of writes (default: ${DEFAULT-VALUE}).")
  private double writes = 0.08;

  @Option(names = "--repeats", description = "Repeats at most (default: ${DEFAULT-VALUE}).")
  private int repeats = 1000;

  @Option(names = "--picture", paramLabel = "FILE", description = "Draws it, as a PNG.")
  private Path picture;

  /** One node under one load. */
  private record Played(
      String name, double multiple, OpenLoad.Again again, OpenLoad.Result result, double usual) {

    /**
     * Seconds from then on until what is served is as good as usual, and stays so for a second;
     * infinite where it is not by the time of the next trigger.
     */
    double backAfter(int from, int until) {
      double[] goodput = result.timeline().goodput();
      for (int step = 10 * from; step + WINDOW <= 10 * until; step++) {
        double mean = Arrays.stream(goodput, step, step + WINDOW).average().orElse(0);
        if (mean >= BACK * usual) {
          return (step - 10 * from) / 10.0;
        }
      }
      return Double.POSITIVE_INFINITY;
    }
  }

  private final List<Played> played = new ArrayList<>();

  @Override
  public Integer call() throws Exception {
    try (Servers servers = new Servers(8, 100)) {
      int port = Subject.freePort();
      List<Subject> subjects = nodes.subjects(port, servers);
      // All are asked the same, which is what the least able can do: their curves are compared.
      double least = Double.POSITIVE_INFINITY;
      for (Subject subject : subjects) {
        try (Subject.Running running = nodes.start(subject, port)) {
          double able = Load.run(port, 64, 6, 5).perSecond();
          System.out.printf(Locale.ROOT, "%-8s can do %.0f/s%n", subject.name(), able);
          least = Math.min(least, able);
        }
      }
      for (double multiple : times) {
        for (OpenLoad.Again again : manners) {
          for (Subject subject : subjects) {
            play(subject, port, multiple, least, again);
          }
        }
      }
    }
    if (picture != null) {
      draw();
    }
    return 0;
  }

  private void play(Subject subject, int port, double multiple, double able, OpenLoad.Again again)
      throws Exception {
    double usualRate = able * multiple;
    OpenLoad.Rate rate =
        since -> {
          double seconds = since / 1e9;
          return seconds >= BURST_FROM && seconds < BURST_TO ? BURST * usualRate : usualRate;
        };
    ScheduledExecutorService signals = Executors.newSingleThreadScheduledExecutor();
    try (Subject.Running running = nodes.start(subject, port)) {
      signals.schedule(() -> running.signal("STOP"), PAUSE_FROM, TimeUnit.SECONDS);
      signals.schedule(() -> running.signal("CONT"), PAUSE_TO, TimeUnit.SECONDS);
      OpenLoad.Result result =
          OpenLoad.run(
              port, connections, new OpenLoad.Manner(rate, writes, again, repeats, 1), 0, END);
      double usual =
          Arrays.stream(result.timeline().goodput(), 10 * USUAL_FROM, 10 * PAUSE_FROM)
              .average()
              .orElse(0);
      Played one = new Played(subject.name(), multiple, again, result, usual);
      played.add(one);
      System.out.printf(
          Locale.ROOT,
          "%-8s x%-4.1f %-8s usual %7.0f worth/s (%.2f of what is asked), refused %7.0f/s;"
              + " back after start %.1f s, pause %.1f s, burst %.1f s; writes in 300 ms %.1f%%%n",
          one.name(),
          multiple,
          again,
          usual,
          usual / (usualRate * (2 * (1 - writes) + 5 * writes)),
          Arrays.stream(result.timeline().refusals(), 10 * USUAL_FROM, 10 * PAUSE_FROM)
              .average()
              .orElse(0),
          one.backAfter(0, PAUSE_FROM),
          one.backAfter(PAUSE_TO, BURST_FROM),
          one.backAfter(BURST_TO, END),
          100 * result.writesInTimePart());
    } finally {
      signals.shutdownNow();
    }
  }

  private void draw() throws IOException {
    List<XYChart> charts = new ArrayList<>();
    for (double multiple : times) {
      for (OpenLoad.Again again : manners) {
        charts.add(chart(multiple, again));
      }
    }
    BitmapEncoder.saveBitmap(
        charts, times.length, manners.length, picture.toString(), BitmapEncoder.BitmapFormat.PNG);
    System.out.println("drawn: " + picture);
  }

  private XYChart chart(double multiple, OpenLoad.Again again) {
    XYChart chart =
        new XYChartBuilder()
            .width(460)
            .height(300)
            .title(multiple + " times, " + again)
            .xAxisTitle("seconds")
            .yAxisTitle("worth in time, a second")
            .build();
    chart.getStyler().setYAxisMin(0.0);
    for (Played one : played) {
      if (one.multiple() == multiple && one.again() == again) {
        double[] goodput = one.result().timeline().goodput();
        double[] seconds = IntStream.range(0, goodput.length).mapToDouble(i -> i / 10.0).toArray();
        chart.addSeries(one.name(), seconds, goodput).setMarker(SeriesMarkers.NONE);
      }
    }
    return chart;
  }
}
