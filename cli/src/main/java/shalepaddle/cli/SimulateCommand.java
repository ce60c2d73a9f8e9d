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

/** Runs simulated scenarios and prints the seeds, violations and leaks of those that fail. */
@Command(
    name = "simulate",
    description =
        "Runs simulated scenarios in virtual time, and prints the seeds of those that fail.",
    mixinStandardHelpOptions = true)
final class SimulateCommand implements Callable<Integer> {
  @Option(
      names = "--seeds",
      paramLabel = "FROM..TO",
      description = "Range of scenario seeds (default: ${DEFAULT-VALUE}).",
      defaultValue = "1..100",
      converter = SeedRange.Converter.class)
  private SeedRange seeds;

  @Option(
      names = "--seconds",
      description =
          "Virtual seconds during which clients send requests (default: ${DEFAULT-VALUE}).",
      defaultValue = "20")
  private int loadSeconds;

  @Option(
      names = "--threads",
      description = "Scenarios run in parallel (default: one less than the number of processors).")
  private int threadCount = Math.max(1, Runtime.getRuntime().availableProcessors() - 1);

  @Option(
      names = "--join",
      description = "Coalesce reads of the same key, and send requests for few keys only.")
  private boolean coalescesReads;

  @Option(
      names = "--crossing",
      description =
          "Inject several faults at almost the same time, in a deployment drawn from the seed.")
  private boolean hasOverlappingFaults;

  @Option(
      names = "--all",
      description = "Print a line for each scenario, not only for those that fail.")
  private boolean printsAll;

  private final PrintStream out;

  SimulateCommand() {
    this(System.out);
  }

  SimulateCommand(PrintStream out) {
    this.out = out;
  }

  /** An inclusive range of seeds. */
  record SeedRange(long firstSeed, long lastSeed) {
    static final class Converter implements ITypeConverter<SeedRange> {
      @Override
      public SeedRange convert(String text) {
        String[] bounds = text.split("\\.\\.", -1);
        try {
          SeedRange range =
              new SeedRange(Long.parseLong(bounds[0]), Long.parseLong(bounds[bounds.length - 1]));
          if (bounds.length <= 2 && range.firstSeed <= range.lastSeed) {
            return range;
          }
        } catch (NumberFormatException e) {
          // Text without a number is rejected below, like an empty range.
        }
        throw new TypeConversionException(
            "'" + text + "' is neither a seed nor a range such as 1..1000");
      }
    }
  }

  @Override
  public Integer call() throws Exception {
    long startedAtNanos = System.nanoTime();
    ExecutorService pool = Executors.newFixedThreadPool(Math.max(1, threadCount));
    var completionService = new ExecutorCompletionService<ScenarioReport>(pool);
    List<Long> failingSeeds = new ArrayList<>();
    long requests = 0;
    long servedRequests = 0;
    long sharedAnswers = 0;
    long scenarioCount = seeds.lastSeed() - seeds.firstSeed() + 1;
    try {
      long nextSeed = seeds.firstSeed();
      for (long i = 1; i <= scenarioCount; i++) {
        // Queues only a few scenarios ahead of the running ones, since a range may be long.
        for (;
            nextSeed <= seeds.lastSeed() && nextSeed - seeds.firstSeed() < i + 2L * threadCount;
            nextSeed++) {
          ScenarioPlan drawnPlan =
              hasOverlappingFaults
                  ? ScenarioPlan.ofConcurrentEvents(nextSeed, loadSeconds * 1000L)
                  : ScenarioPlan.of(nextSeed, loadSeconds * 1000L);
          ScenarioPlan plan = coalescesReads ? drawnPlan.withCoalescing() : drawnPlan;
          completionService.submit(() -> ScenarioSimulation.play(plan));
        }
        ScenarioReport report = completionService.take().get();
        requests += report.requests();
        servedRequests += report.servedRequests();
        sharedAnswers += report.sharedReads();
        if (!report.passed()) {
          failingSeeds.add(report.plan().seed());
        }
        if (printsAll || !report.passed()) {
          print(report);
        }
        if (i % 50 == 0 || i == scenarioCount) {
          System.err.printf(
              "%d of %d scenarios, %d failing%n", i, scenarioCount, failingSeeds.size());
        }
      }
    } finally {
      pool.shutdownNow();
    }
    out.printf(
        "%d scenarios of %d s, %d requests, %.1f%% served%s, %d failing%s, took %.1f s%n",
        scenarioCount,
        loadSeconds,
        requests,
        100.0 * servedRequests / Math.max(1, requests),
        coalescesReads
            ? " (%.1f%% with the answer to another request)"
                .formatted(100.0 * sharedAnswers / Math.max(1, requests))
            : "",
        failingSeeds.size(),
        failingSeeds.isEmpty() ? "" : ": seeds " + failingSeeds,
        (System.nanoTime() - startedAtNanos) / 1e9);
    return failingSeeds.isEmpty() ? 0 : 1;
  }

  private void print(ScenarioReport report) {
    ScenarioPlan plan = report.plan();
    out.printf(
        "seed %d: %d servers, %d nodes, %d requests, %d served, %d refused, %d failed, p99 %d ms%n",
        plan.seed(),
        plan.serverCount(),
        plan.nodeCount(),
        report.requests(),
        report.servedRequests(),
        report.refusedRequests(),
        report.failedRequests(),
        report.p99Micros() / 1000);
    if (!report.passed()) {
      out.println("  " + plan);
      report.violations().forEach(violation -> out.println("  " + violation));
    }
  }
}
