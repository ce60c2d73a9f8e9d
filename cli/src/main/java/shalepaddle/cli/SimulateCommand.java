package shalepaddle.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import picocli.CommandLine.Command;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.Option;
import picocli.CommandLine.TypeConversionException;
import shalepaddle.simulation.ScenarioPlan;
import shalepaddle.simulation.ScenarioReport;
import shalepaddle.simulation.ScenarioSimulation;

/** Plays simulated scenarios and prints those in which a rule was violated or something leaked. */
@Command(
    name = "simulate",
    description =
        "Plays simulated scenarios in virtual time, and prints the seeds of those that fail.",
    mixinStandardHelpOptions = true)
final class SimulateCommand implements Callable<Integer> {
  @Option(
      names = "--seeds",
      paramLabel = "FROM..TO",
      description = "Which scenarios (default: ${DEFAULT-VALUE}).",
      defaultValue = "1..100",
      converter = Range.Converter.class)
  private Range seeds;

  @Option(
      names = "--seconds",
      description = "Virtual seconds for which clients ask (default: ${DEFAULT-VALUE}).",
      defaultValue = "20")
  private int seconds;

  @Option(
      names = "--threads",
      description = "Scenarios played at once (default: one less than there are processors).")
  private int threads = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);

  @Option(names = "--join", description = "Coalesce equal reads; few keys are requested then.")
  private boolean joining;

  @Option(
      names = "--crossing",
      description = "Several faults at almost the same moment, in ever other deployments.")
  private boolean crossing;

  @Option(
      names = "--all",
      description = "Print a line for each scenario, also for those that pass.")
  private boolean all;

  private final PrintStream out;

  SimulateCommand() {
    this(System.out);
  }

  SimulateCommand(PrintStream out) {
    this.out = out;
  }

  /** Seeds from one to another. */
  record Range(long from, long to) {
    static final class Converter implements ITypeConverter<Range> {
      @Override
      public Range convert(String text) {
        String[] ends = text.split("\\.\\.", -1);
        try {
          Range range = new Range(Long.parseLong(ends[0]), Long.parseLong(ends[ends.length - 1]));
          if (ends.length <= 2 && range.from <= range.to) {
            return range;
          }
        } catch (NumberFormatException e) {
          // Told below.
        }
        throw new TypeConversionException("'" + text + "' is no seed and no range such as 1..1000");
      }
    }
  }

  @Override
  public Integer call() throws Exception {
    long began = System.nanoTime();
    ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, threads));
    var played = new ExecutorCompletionService<ScenarioReport>(pool);
    List<Long> failing = new ArrayList<>();
    long asked = 0;
    long served = 0;
    long shared = 0;
    long days = seeds.to() - seeds.from() + 1;
    try {
      long next = seeds.from();
      for (long i = 1; i <= days; i++) {
        // A few ahead of those that are played: a range may be long.
        for (; next <= seeds.to() && next - seeds.from() < i + 2L * threads; next++) {
          ScenarioPlan drawn =
              crossing
                  ? ScenarioPlan.crossing(next, seconds * 1000L)
                  : ScenarioPlan.of(next, seconds * 1000L);
          ScenarioPlan plan = joining ? drawn.joined() : drawn;
          played.submit(() -> ScenarioSimulation.play(plan));
        }
        ScenarioReport report = played.take().get();
        asked += report.asked();
        served += report.served();
        shared += report.shared();
        if (!report.good()) {
          failing.add(report.plan().seed());
        }
        if (all || !report.good()) {
          print(report);
        }
        if (i % 50 == 0 || i == days) {
          System.err.printf("%d of %d days, %d failing%n", i, days, failing.size());
        }
      }
    } finally {
      pool.shutdownNow();
    }
    out.printf(
        "%d days of %d s, %d requests, %.1f%% served%s, %d failing%s, %.1f s%n",
        days,
        seconds,
        asked,
        100.0 * served / Math.max(1, asked),
        joining ? " (%.1f%% by another's try)".formatted(100.0 * shared / Math.max(1, asked)) : "",
        failing.size(),
        failing.isEmpty() ? "" : ": seeds " + failing,
        (System.nanoTime() - began) / 1e9);
    return failing.isEmpty() ? 0 : 1;
  }

  private void print(ScenarioReport report) {
    ScenarioPlan plan = report.plan();
    out.printf(
        "seed %d: %d servers, %d nodes, %d asked, %d served, %d refused, %d failed, p99 %d ms%n",
        plan.seed(),
        plan.servers(),
        plan.nodes(),
        report.asked(),
        report.served(),
        report.refused(),
        report.failed(),
        report.p99Micros() / 1000);
    if (!report.good()) {
      out.println("  " + plan);
      report.breaches().forEach(breach -> out.println("  " + breach));
    }
  }
}
